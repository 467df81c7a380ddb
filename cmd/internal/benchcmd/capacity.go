package benchcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	// capacityTimeout aborts a run on a machine that is too busy to finish it.
	capacityTimeout = 110 * time.Second
	// capacityRepeats is the number of samples per size; their spread is part of the fit's error.
	capacityRepeats = 3
	// capacityMemoryLimit is the soft memory limit in bytes, which makes the runtime collect garbage
	// early. The largest measurement needs a tenth of it.
	capacityMemoryLimit = 4 << 30
)

const capacityHelp = `capacity measures how the cost of each role of an instance grows: memory, processor time, bytes
and messages at a few sizes each, and fits a line through them. docs/CAPACITY.md works out the
design size from these slopes. Everything runs in one process with small stand-ins, so figures of
calls between two parties contain both ends unless their name says otherwise.

The processor time is that of the process, so other load on the machine changes it less than it
changes latencies. The load average of the machine is shown with the figures.`

// quantity describes one value that a measurement returns.
type quantity struct {
	Name    string `json:"name"`    // role, then the measured property
	Unit    string `json:"unit"`    // unit of the value
	Per     string `json:"per"`     // the item that the size counts
	Package string `json:"package"` // package that implements the measured mechanism
}

// measurement returns one value per quantity at each size.
type measurement struct {
	sizes      []int
	quantities []quantity
	// setUp starts the fixtures that all sizes share; stop ends them and is never nil.
	setUp func(ctx context.Context) (run measureAtSize, stop func(), err error)
}

// measureAtSize measures at one size and returns a value per quantity.
type measureAtSize func(size int) ([]float64, error)

// slopeReport is a quantity with its samples and the line fitted through them.
type slopeReport struct {
	quantity
	line
	Samples []sample `json:"samples"`
}

// capacityReport is the result of bench capacity.
type capacityReport struct {
	Cores       int           `json:"cores"`
	Go          string        `json:"go"`
	LoadAverage string        `json:"load_average"` // over 1, 5 and 15 minutes, at the end of the run
	Seconds     float64       `json:"seconds"`
	Slopes      []slopeReport `json:"slopes"`
}

func newCapacity() *cobra.Command {
	var only string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how the cost of each role grows with its size",
		Long:  capacityHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), capacityTimeout)
			defer cancel()
			asJSON, _ := cmd.Flags().GetBool("json")
			report, err := runCapacity(ctx, selectByPrefix(measurements(), only))
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return report.writeTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "measure only the quantities whose name begins with this, such as quota")
	return cmd
}

// measurements returns all measurements of bench capacity, ordered by role.
func measurements() []measurement {
	return []measurement{
		entryIdle(), entryStatement(), entryHandshake(),
		homeCheckout(), homePeers(), homeQueue(), homeQueueIdle(), homeServers(), homeChoice(), homeMoves(),
		proberView(), proberProbe(), proberFreshProbe(),
		quotaRequester("slow.near", quotaSlowRate, quotaNearDelay), quotaRequester("slow.far", quotaSlowRate, quotaFarDelay),
		quotaRequester("fast.far", quotaFastRate, quotaFarDelay), quotaPoll(), quotaLoans(), quotaDriver(),
		manifestDatabases(), manifestAccounts(), manifestDelta(),
		gossipCall(), contactCall(), contactList(), gossipTerms(), gossipSpread(3), gossipSpread(1), peerSet(), instanceList(), storeCall(),
	}
}

// selectByPrefix returns the measurements that have a quantity whose name starts with prefix.
func selectByPrefix(all []measurement, prefix string) []measurement {
	var out []measurement
	for _, m := range all {
		for _, q := range m.quantities {
			if strings.HasPrefix(q.Name, prefix) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

func runCapacity(ctx context.Context, list []measurement) (*capacityReport, error) {
	if len(list) == 0 {
		return nil, errors.New("no quantity has this name; leave --only out to see all")
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(capacityMemoryLimit))
	began := time.Now()
	r := &capacityReport{Cores: runtime.NumCPU(), Go: runtime.Version()}
	for _, m := range list {
		slopes, err := m.run(ctx, capacityRepeats)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", m.quantities[0].Name)
		}
		r.Slopes = append(r.Slopes, slopes...)
	}
	r.Seconds = time.Since(began).Seconds()
	r.LoadAverage = loadAverage()
	return r, nil
}

// run alternates between the sizes, so that a change of the machine's load affects all of them.
func (m measurement) run(ctx context.Context, repeats int) ([]slopeReport, error) {
	run, stop, err := m.setUp(ctx)
	defer stop()
	if err != nil {
		return nil, err
	}
	slopes := make([]slopeReport, len(m.quantities))
	for range repeats {
		for _, size := range m.sizes {
			if err := ctx.Err(); err != nil {
				return nil, errors.Wrap(err, "run fewer other programs, or choose quantities with --only")
			}
			values, err := run(size)
			if err != nil {
				return nil, err
			}
			for i, v := range values {
				slopes[i].Samples = append(slopes[i].Samples, sample{float64(size), v})
			}
		}
	}
	for i := range slopes {
		slopes[i].quantity = m.quantities[i]
		if slopes[i].line, err = fitLine(slopes[i].Samples); err != nil {
			return nil, err
		}
	}
	return slopes, nil
}

// noStop is the stop function of a measurement without fixtures.
func noStop() {}

// withoutSetup returns the setUp of a measurement that needs no fixtures.
func withoutSetup(run measureAtSize) func(context.Context) (measureAtSize, func(), error) {
	return func(context.Context) (measureAtSize, func(), error) { return run, noStop, nil }
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// getrusage(2) fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuCost returns the CPU time that the process uses during f, in microseconds.
func cpuCost(f func() error) (float64, error) {
	runtime.GC()
	before := cpuTime()
	err := f()
	return micros(cpuTime() - before), err
}

// retainedBytes returns the growth of the memory in use by f. keep is what f allocated; it stays
// reachable until the memory is read.
func retainedBytes(f func() (keep any, err error)) (float64, error) {
	before, _ := memoryInUse(context.Background())
	keep, err := f()
	after, _ := memoryInUse(context.Background())
	runtime.KeepAlive(keep)
	return float64(after) - float64(before), err
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes, or "" if they can't be
// read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

func (r *capacityReport) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tslope\t± error\tunit\tper\tintercept\tsizes\tpackage")
	for _, s := range r.Slopes {
		fmt.Fprintf(t, "%s\t%.4g\t%.2g\t%s\t%s\t%.4g\t%s\t%s\n",
			s.Name, s.Slope, s.SlopeError, s.Unit, s.Per, s.Intercept, s.sizeRange(), s.Package)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d cores, %s, load average %s, %.0f s\n", r.Cores, r.Go, r.LoadAverage, r.Seconds)
	return err
}

// sizeRange formats the smallest and largest size and the number of samples.
func (s slopeReport) sizeRange() string {
	low, high := s.Samples[0].Size, s.Samples[0].Size
	for _, p := range s.Samples {
		low, high = min(low, p.Size), max(high, p.Size)
	}
	return fmt.Sprintf("%.0f-%.0f (%d)", low, high, len(s.Samples))
}
