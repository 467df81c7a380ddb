// Package benchcmd implements the bench commands of cyclamenctl. They run on one machine, with the
// stand-ins in the same process.
package benchcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/bench"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/ctl"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
)

// New returns the bench command.
func New() *cobra.Command {
	cmd := ctl.Group(&cobra.Command{
		Use:   "bench",
		Short: "Measure the proxy on this machine",
	})
	cmd.AddCommand(newOverhead(), newCapacity(), newFailover(), newSessions(), newFairness(), newOpenLoad())
	return cmd
}

// overheadOptions are the flags of bench overhead.
type overheadOptions struct {
	connections     int
	rounds          int
	idleConnections int
	serviceTime     time.Duration
	scope           string
}

const overheadHelp = `overhead runs the same reads straight to the two replicas of a stand-in database and through one
instance of the proxy, in turns, and shows the throughput, the latencies, the memory of an idle
client connection and the allocations of a statement. Everything runs in one process, so the
proxy, the server and the load share the machine; memory includes the load's end of a connection.`

func newOverhead() *cobra.Command {
	o := &overheadOptions{}
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare a statement through the proxy with the direct path",
		Long:  overheadHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asJSON, _ := cmd.Flags().GetBool("json")
			return o.run(cmd.Context(), cmd.OutOrStdout(), asJSON)
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.connections, "connections", 16, "client connections in use on each side")
	f.IntVar(&o.rounds, "rounds", 5, "rounds of one second on each side")
	f.IntVar(&o.idleConnections, "idle", 2000, "idle client connections for the memory figure")
	f.DurationVar(&o.serviceTime, "service-time", 200*time.Microsecond, "time that a statement takes at the server")
	f.StringVar(&o.scope, "session-scope", string(manifest.ScopeConnection), "sessionScope of the route: any samples a floor for each read, connection once")
	return cmd
}

// replicas returns the addresses of the servers from which the proxy serves reads, so that the direct
// path uses the same servers.
func replicas(d *local.Deployment) []string {
	return []string{d.Group.Server(1).Address(), d.Group.Server(2).Address()}
}

// overheadReport is the result of bench overhead. Latencies are in microseconds.
type overheadReport struct {
	Direct            endpointReport `json:"direct"`
	Proxy             endpointReport `json:"proxy"`
	ThroughputRatio   float64        `json:"throughput_ratio"`
	AddedP50          float64        `json:"added_p50_us"`
	IdleConnections   int            `json:"idle_connections"`
	BytesPerIdle      float64        `json:"bytes_per_idle_connection"`
	AllocsPerProxied  float64        `json:"allocations_per_proxied_statement"`
	AllocsPerDirect   float64        `json:"allocations_per_direct_statement"`
	ServiceTimeMicros float64        `json:"service_time_us"`
	Connections       int            `json:"connections"`
}

type endpointReport struct {
	StatementsPerSecond float64 `json:"statements_per_second"`
	P50                 float64 `json:"p50_us"`
	P99                 float64 `json:"p99_us"`
}

func (o *overheadOptions) run(ctx context.Context, w io.Writer, asJSON bool) error {
	const account = "bench"
	d, err := local.Start(ctx, local.Config{
		Instances: 1,
		Server: database.Config{
			ServiceTime: o.serviceTime, MaxConnections: 200, Slots: 128, ReplicationLag: time.Millisecond,
		},
		Accounts: []local.Account{{Name: account, Weight: 1, Rate: manifest.MaxRate, Burst: manifest.MaxRate}},
		Routes: []manifest.Route{{
			Name: local.DatabaseName, Database: local.DatabaseName, Accounts: []string{account},
			SessionScope: manifest.SessionScope(o.scope),
		}},
	})
	if err != nil {
		return err
	}
	defer d.Close()
	direct := bench.Endpoint{Addresses: replicas(d), Account: load.Account{Name: account}}
	proxy := bench.Endpoint{
		Addresses: []string{d.Instances[0].Address}, Database: local.DatabaseName,
		Account: load.Account{Name: account, Key: d.Key(account)},
	}
	result, err := bench.MeasureOverhead(ctx, bench.Config{
		Direct: direct, Proxy: proxy, Connections: o.connections, Rounds: o.rounds,
		IdleConnections: o.idleConnections, ProxyMemory: memoryInUse,
	})
	if err != nil {
		return err
	}
	r := o.newReport(result)
	if r.AllocsPerDirect, err = allocationsPerStatement(ctx, direct); err != nil {
		return err
	}
	if r.AllocsPerProxied, err = allocationsPerStatement(ctx, proxy); err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	return r.writeTable(w)
}

func (o *overheadOptions) newReport(r bench.Report) *overheadReport {
	return &overheadReport{
		Direct:            newEndpointReport(r.Direct),
		Proxy:             newEndpointReport(r.Proxy),
		ThroughputRatio:   r.ThroughputRatio(),
		AddedP50:          micros(r.Proxy.P50 - r.Direct.P50),
		IdleConnections:   r.IdleConnections,
		BytesPerIdle:      r.BytesPerIdleConnection,
		ServiceTimeMicros: micros(o.serviceTime),
		Connections:       o.connections,
	}
}

func newEndpointReport(r bench.EndpointResult) endpointReport {
	return endpointReport{r.StatementsPerSecond, micros(r.P50), micros(r.P99)}
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// memoryInUse returns the heap and stack bytes in use after a garbage collection.
func memoryInUse(context.Context) (uint64, error) {
	// The first collection queues finalizers; the second frees the finalized objects.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse, nil
}

// allocationsPerStatement returns the heap allocations per statement on the whole path, including the
// client.
func allocationsPerStatement(ctx context.Context, e bench.Endpoint) (float64, error) {
	const statements = 2000
	var before, after runtime.MemStats
	run, stop, err := bench.OpenStatementRunner(ctx, e)
	if err != nil {
		return 0, err
	}
	defer stop()
	if err := run(statements / 10); err != nil {
		return 0, err
	}
	runtime.ReadMemStats(&before)
	if err := run(statements); err != nil {
		return 0, err
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / statements, nil
}

func (r *overheadReport) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tstatements/s\tp50 µs\tp99 µs\tallocations\t")
	fmt.Fprintf(t, "direct\t%.0f\t%.0f\t%.0f\t%.1f\t\n", r.Direct.StatementsPerSecond, r.Direct.P50, r.Direct.P99, r.AllocsPerDirect)
	fmt.Fprintf(t, "proxy\t%.0f\t%.0f\t%.0f\t%.1f\t\n", r.Proxy.StatementsPerSecond, r.Proxy.P50, r.Proxy.P99, r.AllocsPerProxied)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "throughput %.0f%% of direct, p50 +%.0f µs, %.0f bytes per idle connection (%d connections)\n",
		100*r.ThroughputRatio, r.AddedP50, r.BytesPerIdle, r.IdleConnections)
	return err
}
