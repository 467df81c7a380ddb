package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
	proxyburn "github.com/cyclamenstile/cyclamenstile/proxy/burn"
)

const (
	// burnTimeout limits the request to one instance, so that an unresponsive one can't use up the
	// command's timeout.
	burnTimeout = 5 * time.Second
	// maxBurnReportBytes is the largest report read. 300 series of about 2 KB are below 1 MB.
	maxBurnReportBytes = 8 << 20
)

var (
	errObjectiveAtRisk  = errors.New("a service-level objective is at risk or missed; see the column ALARM")
	errInstancesMissing = errors.New("not every instance answered; the report lacks their statements")
)

const burnHelp = `burn asks instances for their service-level reports and adds them up. A window holds what the
instances saw since they started; they keep nothing over a restart.

The burn rate is the share of bad statements divided by the share that the objective allows: at 1
the budget lasts exactly 30 days. Alarms:
  fast_burn         burn rate of 14.4 or more over 1 h and over 5 min: 2% of the budget in an hour
  slow_burn         burn rate of 6 or more over 6 h and over 1 h: 5% of the budget in 6 hours
  budget_exhausted  no budget of 30 days is left
An alarm needs 5 bad statements or more.

Exit codes: 0 without an alarm; 7 with an alarm; 5 without one when an instance did not answer
(the report of the others is printed); 1 when the instances have different objectives; 2 for a
wrong command line.`

type burnResult struct {
	burn.Report
	Faults []instanceFault `json:"faults"` // instances that did not answer
}

type instanceFault struct {
	Ops   string `json:"ops"`
	Fault string `json:"fault"`
}

func newBurn(o *options) *cobra.Command {
	var addresses []string
	var svg string
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Show how much of the service-level objective is spent, and by what",
		Long:  burnHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkAddresses(addresses); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			result, err := collectBurn(ctx, addresses)
			if err != nil {
				return err
			}
			if svg != "" {
				if err := writeSVG(svg, result); err != nil {
					return err
				}
			}
			if err := o.print(cmd.OutOrStdout(), result); err != nil {
				return err
			}
			return result.exitError()
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "ops", nil, "IP:port of the operations listener of an instance; repeat it or separate several by commas")
	cmd.Flags().StringVar(&svg, "svg", "", "file to write the report to as a picture")
	_ = cmd.MarkFlagRequired("ops")
	return cmd
}

func checkAddresses(addresses []string) error {
	for i, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usagef("--ops: %q is not an IP address with a port; write it like 127.0.0.1:6434", a)
		}
		if slices.Contains(addresses[:i], a) {
			return usagef("--ops: %s is given twice; its statements would count twice", a)
		}
	}
	return nil
}

// collectBurn fetches the reports of all instances concurrently and merges them.
func collectBurn(ctx context.Context, addresses []string) (burnResult, error) {
	reports := make([]burn.Report, len(addresses))
	faults := make([]error, len(addresses))
	var requests sync.WaitGroup
	for i, a := range addresses {
		requests.Go(func() { reports[i], faults[i] = fetchBurn(ctx, a) })
	}
	requests.Wait()

	result := burnResult{Faults: []instanceFault{}}
	var answered []burn.Report
	for i, err := range faults {
		if err != nil {
			result.Faults = append(result.Faults, instanceFault{Ops: addresses[i], Fault: err.Error()})
			continue
		}
		answered = append(answered, reports[i])
	}
	if len(answered) == 0 {
		return result, errors.Wrap(errInstancesMissing, result.Faults[0].Fault)
	}
	var err error
	result.Report, err = burn.Merge(answered)
	return result, err
}

func fetchBurn(ctx context.Context, address string) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var r burn.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+proxyburn.Path, nil)
	if err != nil {
		return r, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return r, errors.Wrap(err, "instance does not answer; see whether it runs")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r, errors.Newf("%s answered %s; see whether it is the operations listener of an instance", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBurnReportBytes)).Decode(&r); err != nil {
		return r, errors.Wrapf(err, "report of %s is not readable; check the release of the instance", address)
	}
	return r, errors.Wrapf(r.Validate(), "report of %s; check the release of the instance", address)
}

// exitError returns the error that sets the exit code for an alarm or a missing instance. An alarm
// takes precedence, because it holds whatever the missing instances would report.
func (r burnResult) exitError() error {
	if r.Alarmed() {
		return errObjectiveAtRisk
	}
	if len(r.Faults) > 0 {
		return errInstancesMissing
	}
	return nil
}

func (r burnResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "objective %v; instances: %s\n", r.Objective, strings.Join(r.Instances, ", "))
	for _, f := range r.Faults {
		fmt.Fprintf(w, "no report from %s: %s\n", f.Ops, f.Fault)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tROUTE\tBURN 5m\t1h\t6h\t30d\tBUDGET LEFT\tSTATEMENTS\tBAD\tREFUSED IN RATE\tUNKNOWN\tLATE\tNOT RUN\tABOVE RATE\tALARM")
	for _, s := range r.Series {
		fmt.Fprintf(table, "%s\t%s", orDash(s.Account), s.Route)
		for _, window := range s.Windows {
			fmt.Fprintf(table, "\t%.1f", window.BurnRate)
		}
		c := s.Windows[burn.ThirtyDays].Counts
		fmt.Fprintf(table, "\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.BudgetLeft*100, c.Total(), c.Bad(),
			c.RefusedInsideRate, c.Unknown, c.Late, c.NotRun, c.OverRate, orDash(string(s.Alarm)))
	}
	_ = table.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func writeSVG(file string, r burnResult) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write the picture; check the path")
	}
	if err := drawBurn(f, r); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write the picture")
	}
	return errors.Wrap(f.Close(), "write the picture")
}
