package benchcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

const (
	// failoverTimeout aborts a run on a machine that is too busy to finish it.
	failoverTimeout = 58 * time.Second
	// failoverConcurrency is the number of measurements that run at the same time.
	failoverConcurrency = 3
	// failoverLag is the replication lag.
	failoverLag = 5 * time.Millisecond
	// failoverLoadLimit limits the duration of the load for one cause; normally the load is stopped
	// after the failover.
	failoverLoadLimit = 40 * time.Second
	// violationsShown is the maximum number of violations that a report lists per run.
	violationsShown = 5
)

// errGuaranteeBroken makes the command exit with code 1.
var errGuaranteeBroken = errors.New("a promise was broken; see the report")

const failoverHelp = `failover runs a deployment of the design page under load, six instances and three servers in three
regions with the latencies between them, and ends the writes on the primary by one cause after the
other. It shows the gap in writes, the acknowledged writes that were lost, and what callers were
told. The baseline is a plain policy in the same run: callers connect to the primary itself, which
acknowledges alone, and a script promotes another server after 3 s of silence without fencing.

Everything runs in one process, several causes at a time. The exit code is 1 if a gap was not below
its limit, an acknowledged write was lost, or the history shows another broken promise.`

// benchOptions are the flags that failover and sessions share.
type benchOptions struct {
	deployment string
	seed       uint64
	only       string
	settleTime time.Duration // failover: duration of the load after the failover
	duration   time.Duration // sessions: duration of one measurement
}

func (o *benchOptions) register(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&o.deployment, "deployment", deploymentProfiles[0].name, "deployment of the design page: prairie or malabar")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	f.StringVar(&o.only, "only", "", "measure only the rows whose name begins with this")
}

func newFailover() *cobra.Command {
	o := &benchOptions{}
	cmd := &cobra.Command{
		Use:   "failover",
		Short: "Measure the gap in writes and what is lost when a primary fails",
		Long:  failoverHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.runFailover(cmd)
		},
	}
	o.register(cmd)
	cmd.Flags().DurationVar(&o.settleTime, "settle", 1500*time.Millisecond, "load after the fault has ended")
	return cmd
}

// failoverFigures holds what callers observed during one failover.
type failoverFigures struct {
	Statements      int      `json:"statements"`
	WriteGapMillis  int64    `json:"write_gap_ms"`
	LostAcked       int      `json:"lost_acked_writes"`
	Unknown         int      `json:"outcome_unknown"`
	FalseNotRun     int      `json:"false_not_run"`
	Refused         int      `json:"refused"`
	Violations      int      `json:"violations"`
	ShownViolations []string `json:"violations_shown,omitempty"`
}

// failoverRow compares the proxy with the baseline for one cause.
type failoverRow struct {
	Cause       string          `json:"cause"`
	LimitMillis int64           `json:"limit_ms"`
	Proxy       failoverFigures `json:"ours"`
	Baseline    failoverFigures `json:"baseline"`
}

// failoverReport is the result of bench failover.
type failoverReport struct {
	Deployment  string        `json:"deployment"`
	Seed        uint64        `json:"seed"`
	LoadAverage string        `json:"load_average"`
	Seconds     float64       `json:"seconds"`
	Rows        []failoverRow `json:"rows"`
	Broken      []string      `json:"broken"`
}

func (o *benchOptions) runFailover(cmd *cobra.Command) error {
	profile, err := profileByName(o.deployment)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), failoverTimeout)
	defer cancel()
	report, err := o.measureFailover(ctx, profile)
	if err != nil {
		return err
	}
	asJSON, _ := cmd.Flags().GetBool("json")
	return printReport(cmd.OutOrStdout(), asJSON, report, report.writeTable, report.Broken)
}

// printReport writes a report. It returns errGuaranteeBroken if the report names a broken guarantee.
func printReport(w io.Writer, asJSON bool, report any, table func(io.Writer) error, broken []string) error {
	var err error
	if asJSON {
		err = json.NewEncoder(w).Encode(report)
	} else {
		err = table(w)
	}
	if err == nil && len(broken) > 0 {
		return errGuaranteeBroken
	}
	return err
}

func (o *benchOptions) measureFailover(ctx context.Context, profile deploymentProfile) (*failoverReport, error) {
	began := time.Now()
	r := &failoverReport{Deployment: profile.name, Seed: o.seed, Broken: []string{}}
	for _, c := range causes() {
		if strings.HasPrefix(c.name, o.only) {
			r.Rows = append(r.Rows, failoverRow{Cause: c.name, LimitMillis: c.limit.Milliseconds()})
		}
	}
	if len(r.Rows) == 0 {
		return nil, errors.New("no cause has this name; leave --only out to see all")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(failoverConcurrency)
	for i := range r.Rows {
		c := causeByName(r.Rows[i].Cause)
		group.Go(func() (err error) {
			r.Rows[i].Proxy, err = o.measureProxy(ctx, profile, c)
			return errors.Wrap(err, c.name)
		})
	}
	for i := range r.Rows {
		c := causeByName(r.Rows[i].Cause)
		group.Go(func() (err error) {
			r.Rows[i].Baseline, err = o.measurePlainPolicy(ctx, profile, c)
			return errors.Wrapf(err, "%s, plain policy", c.name)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	r.Seconds, r.LoadAverage = time.Since(began).Seconds(), loadAverage()
	r.checkGuarantees()
	return r, nil
}

func causeByName(name string) cause {
	for _, c := range causes() {
		if c.name == name {
			return c
		}
	}
	return cause{}
}

// measureProxy measures one cause with the proxy.
func (o *benchOptions) measureProxy(ctx context.Context, profile deploymentProfile, c cause) (failoverFigures, error) {
	d, err := startDeployment(ctx, profile, deploymentOptions{
		lag: failoverLag, seed: o.seed, routes: []manifest.Route{{Name: local.DatabaseName}},
	})
	if err != nil {
		return failoverFigures{}, err
	}
	defer d.close()
	c.mayStayPrimary = false // a primary without the confirmation of a majority acknowledges no write
	return o.measureUnderLoad(ctx, c, d.servers(), d.load(local.DatabaseName, o.seed, failoverLoadLimit))
}

// measurePlainPolicy measures one cause with the plain policy.
func (o *benchOptions) measurePlainPolicy(ctx context.Context, profile deploymentProfile, c cause) (failoverFigures, error) {
	p, err := startPlainFailover(profile, deploymentOptions{lag: failoverLag, seed: o.seed})
	if err != nil {
		return failoverFigures{}, err
	}
	defer p.close()
	scriptCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.runScript(scriptCtx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	return o.measureUnderLoad(ctx, c, p.servers(), p.load(local.DatabaseName, o.seed, failoverLoadLimit))
}

// measureUnderLoad causes the failover while the load runs and returns the figures.
func (o *benchOptions) measureUnderLoad(ctx context.Context, c cause, s *servers, cfg load.Config) (failoverFigures, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result *load.Result
	var running errgroup.Group
	running.Go(func() (err error) {
		result, err = load.Run(loadCtx, cfg)
		return err
	})
	err := o.causeFailover(ctx, c, s)
	stop()
	if err := errors.CombineErrors(err, running.Wait()); err != nil {
		return failoverFigures{}, err
	}
	if err := readFinal(ctx, s.group, result); err != nil {
		return failoverFigures{}, err
	}
	return newFailoverFigures(result), nil
}

// causeFailover injects the fault, waits for another primary, heals the fault and lets the load
// continue.
func (o *benchOptions) causeFailover(ctx context.Context, c cause, s *servers) error {
	anyPrimary := func(int) bool { return true }
	if err := s.awaitWrites(ctx, requiredRecords, anyPrimary); err != nil {
		return err
	}
	old := s.group.Primary()
	if err := c.inject(ctx, s, old); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.limit+o.settleTime)
	defer cancel()
	// The error is ignored: if no primary takes over in time, the write gap exceeds its limit.
	_ = s.awaitWrites(waitCtx, requiredRecords, func(i int) bool { return c.mayStayPrimary || i != old })
	if err := c.heal(ctx, s, old); err != nil {
		return err
	}
	return sleep(ctx, o.settleTime)
}

func newFailoverFigures(r *load.Result) failoverFigures {
	f := failoverFigures{WriteGapMillis: r.WriteGap.Milliseconds()}
	for _, c := range r.Counts {
		f.Statements += c.Sent
		f.Unknown += c.Unknown
		f.Refused += c.NotRun
	}
	for _, v := range history.Check(r.History) {
		switch v.(type) {
		case history.LostWrite:
			f.LostAcked++
		case history.RanAfterNotRun:
			f.FalseNotRun++
		}
		f.Violations++
		if len(f.ShownViolations) < violationsShown {
			f.ShownViolations = append(f.ShownViolations, v.String())
		}
	}
	return f
}

// checkGuarantees records the guarantees that were broken.
func (r *failoverReport) checkGuarantees() {
	for _, row := range r.Rows {
		if row.Proxy.WriteGapMillis >= row.LimitMillis {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: no write was acknowledged for %d ms, the limit is %d ms", row.Cause, row.Proxy.WriteGapMillis, row.LimitMillis))
		}
		for _, v := range row.Proxy.ShownViolations {
			r.Broken = append(r.Broken, row.Cause+": "+v)
		}
	}
}

func (r *failoverReport) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "cause\tpolicy\twrite gap ms\tlimit ms\tlost acked\tunknown\tfalse not run\trefused\tstatements\t")
	for _, row := range r.Rows {
		row.Proxy.writeRow(t, row.Cause, "ours", row.LimitMillis)
		row.Baseline.writeRow(t, row.Cause, "plain", row.LimitMillis)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.Broken {
		fmt.Fprintln(w, "broken promise:", b)
	}
	_, err := fmt.Fprintf(w, "%s, seed %d, load average %s, %.0f s\n", r.Deployment, r.Seed, r.LoadAverage, r.Seconds)
	return err
}

func (f failoverFigures) writeRow(w io.Writer, cause, policy string, limit int64) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
		cause, policy, f.WriteGapMillis, limit, f.LostAcked, f.Unknown, f.FalseNotRun, f.Refused, f.Statements)
}
