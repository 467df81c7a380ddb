package benchcmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

const (
	// sessionsTimeout aborts a run on a machine that is too busy to finish it.
	sessionsTimeout = 58 * time.Second
	// moveAfter is the number of statements after which a session reconnects to the next instance.
	moveAfter = 5
	// staleLimit is the maxStaleness of the route that allows stale reads.
	staleLimit = 5 * time.Second
	// baselineVariant names the baseline.
	baselineVariant = "all on primary"
	// staleVariant names the variant that allows stale reads.
	staleVariant = "maxStaleness 5s"
)

// sessionLags are the replication lags. The latency between regions is added to them.
var sessionLags = []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}

const sessionsHelp = `sessions runs a deployment of the design page under load, six instances and three servers in three
regions with the latencies between them, for each way of keeping read-your-writes, each mode of
acknowledging writes and each replication lag. Sessions move to another instance every few
statements. It shows the share of reads on replicas, latencies, and reads that missed a write that
their own session had had acknowledged. The baseline reads everything on the primary.

Everything runs in one process, two deployments at a time. The exit code is 1 if a read was stale on
a route that allows none or more than its staleness, or if the history shows another broken promise.`

// sessionVariant is one method of providing read-your-writes, a way in the report.
type sessionVariant struct {
	name           string
	route          manifest.Route
	handsOverToken bool // the session presents its token when it reconnects
	isBaseline     bool
}

// sessionVariants returns the variants, the baseline last.
func sessionVariants() []sessionVariant {
	return []sessionVariant{
		{name: "token", route: manifest.Route{SessionScope: manifest.ScopeConnection}, handsOverToken: true},
		{name: "sample per read", route: manifest.Route{SessionScope: manifest.ScopeAny}},
		{name: "sample per connection", route: manifest.Route{SessionScope: manifest.ScopeConnection}},
		{name: staleVariant, route: manifest.Route{MaxStaleness: manifest.Duration(staleLimit)}},
		{name: baselineVariant, isBaseline: true},
	}
}

// routeName returns the name of the variant's route, which is also the prefix of the keys it writes.
func (v sessionVariant) routeName() string {
	return strings.ReplaceAll(strings.ToLower(v.name), " ", "-")
}

func newSessions() *cobra.Command {
	o := &benchOptions{}
	cmd := &cobra.Command{
		Use:   "sessions",
		Short: "Compare the ways of keeping read-your-writes",
		Long:  sessionsHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.runSessions(cmd)
		},
	}
	o.register(cmd)
	cmd.Flags().DurationVar(&o.duration, "duration", 2*time.Second, "load of each measurement, of which there are 30")
	return cmd
}

// sessionRow is one measurement. Latencies are in milliseconds.
type sessionRow struct {
	Variant      string   `json:"way"`
	Acknowledge  string   `json:"acknowledge"`
	LagMillis    int64    `json:"lag_ms"`
	ReplicaShare float64  `json:"replica_read_share"`
	ReadP50      float64  `json:"read_p50_ms"`
	ReadP99      float64  `json:"read_p99_ms"`
	WriteP50     float64  `json:"write_p50_ms"`
	WriteP99     float64  `json:"write_p99_ms"`
	Reads        int64    `json:"reads"`
	Writes       int64    `json:"writes"`
	StaleReads   int      `json:"stale_reads"`
	Refused      int      `json:"refused"`
	Unknown      int      `json:"outcome_unknown"`
	Missed       int      `json:"missed"` // due, but not sent
	Broken       []string `json:"broken,omitempty"`
}

// acknowledgeCost holds the write latency of both modes at one lag: the mean over all variants but the
// baseline of their medians.
type acknowledgeCost struct {
	LagMillis   int64   `json:"lag_ms"`
	MajorityP50 float64 `json:"majority_p50_ms"`
	PrimaryP50  float64 `json:"primary_p50_ms"`
}

// sessionsReport is the result of bench sessions.
type sessionsReport struct {
	Deployment  string            `json:"deployment"`
	Seed        uint64            `json:"seed"`
	LoadAverage string            `json:"load_average"`
	Seconds     float64           `json:"seconds"`
	Rows        []sessionRow      `json:"rows"`
	Cost        []acknowledgeCost `json:"acknowledge_cost"`
	Broken      []string          `json:"broken"`
}

func (o *benchOptions) runSessions(cmd *cobra.Command) error {
	profile, err := profileByName(o.deployment)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), sessionsTimeout)
	defer cancel()
	report, err := o.measureSessions(ctx, profile)
	if err != nil {
		return err
	}
	asJSON, _ := cmd.Flags().GetBool("json")
	return printReport(cmd.OutOrStdout(), asJSON, report, report.writeTable, report.Broken)
}

// measureSessions measures both acknowledge modes at the same time. The two deployments of a mode run
// one after the other.
func (o *benchOptions) measureSessions(ctx context.Context, profile deploymentProfile) (*sessionsReport, error) {
	began := time.Now()
	modes := []manifest.Acknowledge{manifest.AcknowledgeMajority, manifest.AcknowledgePrimary}
	rows := make([][]sessionRow, len(modes))
	group, ctx := errgroup.WithContext(ctx)
	for i, mode := range modes {
		group.Go(func() (err error) {
			rows[i], err = o.measureMode(ctx, profile, mode)
			return errors.Wrapf(err, "acknowledge %s", mode)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	r := &sessionsReport{Deployment: profile.name, Seed: o.seed, Rows: slices.Concat(rows...), Broken: []string{}}
	if len(r.Rows) == 0 {
		return nil, errors.New("no way has this name; leave --only out to see all")
	}
	r.Seconds, r.LoadAverage = time.Since(began).Seconds(), loadAverage()
	r.checkGuarantees()
	return r, nil
}

// measureMode measures all variants in one mode: those of the proxy as routes of one deployment, and
// the baseline in another deployment.
func (o *benchOptions) measureMode(ctx context.Context, profile deploymentProfile, mode manifest.Acknowledge) ([]sessionRow, error) {
	var proxied, baseline []sessionVariant
	for _, v := range sessionVariants() {
		switch {
		case !strings.HasPrefix(v.name, o.only): // excluded by --only
		case v.isBaseline:
			baseline = append(baseline, v)
		default:
			proxied = append(proxied, v)
		}
	}
	rows, err := o.measureVariants(ctx, profile, mode, proxied, nil)
	if err != nil {
		return nil, err
	}
	baselineRows, err := o.measureVariants(ctx, profile, mode, baseline, &daemon.BaselinePolicy{Instances: deploymentInstances})
	return append(rows, baselineRows...), err
}

func (o *benchOptions) measureVariants(ctx context.Context, profile deploymentProfile, mode manifest.Acknowledge, variants []sessionVariant, plain *daemon.BaselinePolicy) ([]sessionRow, error) {
	if len(variants) == 0 {
		return nil, nil
	}
	var reads readCounts
	var routes []manifest.Route
	for _, v := range variants {
		v.route.Name, v.route.Acknowledge = v.routeName(), mode
		routes = append(routes, v.route)
	}
	d, err := startDeployment(ctx, profile, deploymentOptions{
		lag: sessionLags[0], seed: o.seed, routes: routes,
		adjust: func(c *daemon.Config) { c.Baseline, c.OnStatement = plain, reads.record },
	})
	if err != nil {
		return nil, err
	}
	defer d.close()
	var rows []sessionRow
	for _, lag := range sessionLags {
		for i := range d.Group.Size() {
			d.Group.Server(i).SetReplicationLag(lag)
		}
		for _, v := range variants {
			row, err := o.measureVariant(ctx, d, v, lag, &reads)
			if err != nil {
				return nil, err
			}
			row.Acknowledge = string(mode)
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// measureVariant measures one variant at one replication lag.
func (o *benchOptions) measureVariant(ctx context.Context, d *deployment, variant sessionVariant, lag time.Duration, reads *readCounts) (sessionRow, error) {
	reads.reset()
	cfg := d.load(variant.routeName(), o.seed, o.duration)
	cfg.RunName = fmt.Sprintf("%s-%d", variant.routeName(), lag.Milliseconds())
	cfg.MoveAfter, cfg.UseToken = moveAfter, variant.handsOverToken
	result, err := load.Run(ctx, cfg)
	if err != nil {
		return sessionRow{}, err
	}
	if err := ctx.Err(); err != nil {
		return sessionRow{}, errors.Wrap(err, "run fewer other programs, or give a shorter --duration")
	}
	if err := readFinal(ctx, d.Group, result); err != nil {
		return sessionRow{}, err
	}
	row := sessionRow{Variant: variant.name, LagMillis: lag.Milliseconds(), ReplicaShare: reads.replicaShare()}
	row.addResult(variant, result)
	return row, nil
}

func (row *sessionRow) addResult(variant sessionVariant, r *load.Result) {
	row.ReadP50, row.ReadP99 = millisAt(r.Reads, 50), millisAt(r.Reads, 99)
	row.WriteP50, row.WriteP99 = millisAt(r.Writes, 50), millisAt(r.Writes, 99)
	row.Reads, row.Writes = r.Reads.TotalCount(), r.Writes.TotalCount()
	for _, c := range r.Counts {
		row.Refused += c.NotRun
		row.Unknown += c.Unknown
		row.Missed += c.Missed
	}
	for _, v := range history.Check(r.History) {
		stale, isStale := v.(history.StaleRead)
		if isStale {
			row.StaleReads++
		}
		allowed := isStale && variant.name == staleVariant && stale.Sent-stale.Acknowledged <= staleLimit
		if !allowed && len(row.Broken) < violationsShown {
			row.Broken = append(row.Broken, v.String())
		}
	}
}

func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// readCounts counts all reads and those served by replicas.
type readCounts struct {
	mu               sync.Mutex
	total, onReplica int
}

func (c *readCounts) record(s engine.Statement) {
	if !s.Read || s.Server == "" || s.Outcome != engine.OutcomeOK {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if !s.Primary {
		c.onReplica++
	}
}

func (c *readCounts) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total, c.onReplica = 0, 0
}

func (c *readCounts) replicaShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.onReplica) / float64(max(c.total, 1))
}

// checkGuarantees records the guarantees that were broken and computes the cost of acknowledging.
func (r *sessionsReport) checkGuarantees() {
	for _, row := range r.Rows {
		if row.Variant == baselineVariant {
			continue
		}
		for _, b := range row.Broken {
			r.Broken = append(r.Broken, fmt.Sprintf("%s, acknowledge %s, lag %d ms: %s", row.Variant, row.Acknowledge, row.LagMillis, b))
		}
	}
	for _, lag := range sessionLags {
		c := acknowledgeCost{
			LagMillis:   lag.Milliseconds(),
			MajorityP50: r.meanWriteP50(manifest.AcknowledgeMajority, lag),
			PrimaryP50:  r.meanWriteP50(manifest.AcknowledgePrimary, lag),
		}
		if c.MajorityP50 > 0 && c.PrimaryP50 > 0 { // otherwise only the baseline was measured
			r.Cost = append(r.Cost, c)
		}
	}
}

// meanWriteP50 returns the mean over all variants but the baseline of the median write latency.
func (r *sessionsReport) meanWriteP50(mode manifest.Acknowledge, lag time.Duration) float64 {
	sum, n := 0.0, 0
	for _, row := range r.Rows {
		if row.Variant != baselineVariant && row.Acknowledge == string(mode) && row.LagMillis == lag.Milliseconds() {
			sum += row.WriteP50
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (r *sessionsReport) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tacknowledge\tlag ms\ton replicas\tread p50 ms\tp99 ms\twrite p50 ms\tp99 ms\tstale\trefused\tunknown\tmissed\treads\twrites\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			row.Variant, row.Acknowledge, row.LagMillis, 100*row.ReplicaShare, row.ReadP50, row.ReadP99,
			row.WriteP50, row.WriteP99, row.StaleReads, row.Refused, row.Unknown, row.Missed, row.Reads, row.Writes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Cost {
		fmt.Fprintf(w, "lag %d ms: a write takes %.1f ms with acknowledge majority, %.1f ms with primary (mean of medians)\n",
			c.LagMillis, c.MajorityP50, c.PrimaryP50)
	}
	for _, b := range r.Broken {
		fmt.Fprintln(w, "broken promise:", b)
	}
	_, err := fmt.Fprintf(w, "%s, seed %d, load average %s, %.0f s\n", r.Deployment, r.Seed, r.LoadAverage, r.Seconds)
	return err
}
