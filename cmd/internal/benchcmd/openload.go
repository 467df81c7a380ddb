package benchcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/openload"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	openLoadAccount = "bench"
	openLoadKey     = "key-of-bench"
	// openLoadRate is the account's rate in statements/s, above any load.
	openLoadRate = 1e6
)

const openLoadHelp = `load offers the operations of one of the users' deployments, prairie or malabar, to instances on a
stand-in of the users' platform, at a rate that doesn't depend on the answers, and shows what callers
got. Latencies count from the moment at which an operation was due.

--event causes a failure during the run, as TIME=NAME, and can be given several times:
  crash-primary    the primary of the first database becomes unreachable
  restart-primary  it is back
  silence-store    the first instance gets no answer from the store
  restore-store    it does again
  kill-instance    the first instance ends at once; with --binary only
  start-instance   it starts again

With --svg the latencies, the outcomes and the gap in acknowledged writes are drawn over time.`

// openLoadOptions are the flags of bench load.
type openLoadOptions struct {
	sheet     string
	factor    float64
	duration  time.Duration
	seed      uint64
	instances int
	binary    string
	svg       string
	events    []string
}

func newOpenLoad() *cobra.Command {
	o := &openLoadOptions{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Offer a deployment's operations at a fixed rate and measure what callers get",
		Long:  openLoadHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.sheet, "sheet", openload.Sheets[0].Name, "deployment whose operations are offered: prairie or malabar")
	f.Float64Var(&o.factor, "factor", 1, "multiplies the rates of the sheet")
	f.DurationVar(&o.duration, "duration", 20*time.Second, "time of the load")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	f.IntVar(&o.instances, "instances", 0, "instances; 0: those of the sheet")
	f.StringVar(&o.binary, "binary", "", "daemon to run instances as processes; empty: in this process")
	f.StringVar(&o.svg, "svg", "", "file for a picture of the run")
	f.StringArrayVar(&o.events, "event", nil, "failure during the run, TIME=NAME; see above")
	return cmd
}

// openLoadReport is the result of bench load.
type openLoadReport struct {
	*openload.Result
	Seed        uint64               `json:"seed"`
	Factor      float64              `json:"factor"`
	Instances   int                  `json:"instances"`
	LoadAverage string               `json:"load_average"`
	Events      []openload.EventMark `json:"events"`
}

func (o *openLoadOptions) run(cmd *cobra.Command) error {
	sheet, events, err := o.parse()
	if err != nil {
		return flagenv.UsageError{Err: err}
	}
	report, err := o.measure(cmd.Context(), sheet, events)
	if err != nil {
		return err
	}
	if err := o.writeSVG(report); err != nil {
		return err
	}
	if asJSON, _ := cmd.Flags().GetBool("json"); asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
	}
	return report.writeTable(cmd.OutOrStdout())
}

// parse validates the flags and returns the scaled sheet and the events.
func (o *openLoadOptions) parse() (openload.Sheet, []failureEvent, error) {
	sheet, err := openload.SheetByName(o.sheet)
	if err != nil {
		return sheet, nil, errors.Wrap(err, "--sheet")
	}
	if o.factor <= 0 || o.duration < time.Second {
		return sheet, nil, errors.New("--factor has to be above 0 and --duration 1s or more")
	}
	events, err := parseEvents(o.events, o.duration, o.binary != "")
	return sheet.Scaled(o.factor), events, err
}

func (o *openLoadOptions) measure(ctx context.Context, sheet openload.Sheet, events []failureEvent) (*openLoadReport, error) {
	instances := o.instances
	if instances == 0 {
		instances = sheet.Instances
	}
	d, err := platformlocal.Start(platformlocal.Config{
		Binary: o.binary, Instances: instances, Databases: sheet.Databases,
		Accounts: []platformlocal.Account{{Name: openLoadAccount, Key: openLoadKey, Rate: openLoadRate, Burst: openLoadRate}},
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if !wait.For(ctx, platformlocal.QuotaWarmupTime) {
		return nil, errors.Wrap(ctx.Err(), "the bench was interrupted")
	}
	report := &openLoadReport{Seed: o.seed, Factor: o.factor, Instances: instances, LoadAverage: loadAverage(), Events: eventMarks(events)}
	injected := startEvents(ctx, d, events)
	report.Result, err = openload.Run(ctx, openload.Config{
		Addresses: d.CallerAddresses(), Databases: d.DatabaseNames(), Key: openLoadKey, Sheet: sheet, Duration: o.duration, Seed: o.seed,
	})
	return report, errors.CombineErrors(err, injected.wait())
}

// writeSVG writes the chart of the run if --svg is given.
func (o *openLoadOptions) writeSVG(r *openLoadReport) error {
	if o.svg == "" {
		return nil
	}
	f, err := os.Create(o.svg)
	if err != nil {
		return errors.Wrap(err, "--svg: choose a file that can be written")
	}
	err = openload.Draw(f, r.Result, r.Events)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "write the SVG file")
}

func (r *openLoadReport) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tdue\tin time\tlate\trefused\tunknown\tretries\tp50 ms\tp99 ms\tmax ms\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			k.Kind, k.Due, k.InTime, k.Late, k.Refused, k.Unknown, k.Retries, k.P50, k.P99, k.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "longest gap in acknowledged writes: %.0f ms; load average %s\n", r.WriteGap, r.LoadAverage)
	return err
}
