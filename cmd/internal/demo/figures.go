package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// Promises on times. The brief's aims are a write gap under 3 s after a crash and keys that stop
// working within seconds.
const (
	writeGapTarget   = 3 * time.Second
	withdrawalTarget = 5 * time.Second
	maxViolations    = 20
)

// Figures are the brief's measures of one policy.
type Figures struct {
	Statements        int     `json:"statements"`
	ReplicaReadShare  float64 `json:"replica_read_share"`
	SessionMoves      int     `json:"session_moves"`
	StaleReads        int     `json:"stale_reads"`
	WriteGapMillis    int64   `json:"write_gap_ms"`
	LostAckedWrites   int     `json:"lost_acked_writes"`
	WorstAccountShare float64 `json:"worst_account_share"` // of its entitlement
	WorstAccount      string  `json:"worst_account"`
	RefusedInsideRate int     `json:"refused_inside_rate"`
	AdmittedOverRate  int     `json:"admitted_over_rate"`
	FalseNotRun       int     `json:"false_not_run"`
	OutcomeUnknown    int     `json:"outcome_unknown"`
	// Failures are the statements that failed, by account and reason.
	Failures            map[string]map[string]int `json:"failures"`
	KeyWithdrawalMillis int64                     `json:"key_withdrawal_ms"`
	Violations          []string                  `json:"violations"`
}

// Report holds the figures of both policies. On the users' platform there is no plain policy to compare with.
type Report struct {
	Figures
	Baseline *Figures `json:"baseline,omitempty"`
	Seed     uint64   `json:"seed"`
}

// HasViolations reports whether any promise was broken.
func (r *Report) HasViolations() bool {
	return len(r.Violations) > 0
}

// measure checks the histories and sums up what the callers experienced.
func (r *policyRun) measure(ctx context.Context) (Figures, error) {
	f := Figures{
		Failures:            map[string]map[string]int{},
		Violations:          []string{},
		SessionMoves:        r.mover.moves,
		StaleReads:          r.mover.staleReads,
		Statements:          2 * r.mover.moves,
		KeyWithdrawalMillis: r.withdrawalDelay.Milliseconds(),
		WorstAccountShare:   1,
		ReplicaReadShare:    r.environment.replicaReadShare(),
	}
	for _, o := range accountLoads() {
		result := r.results[o.Name]
		if result == nil {
			continue
		}
		if err := r.environment.readFinalContent(ctx, result); err != nil {
			return f, err
		}
		result.History.Limits = map[string]history.Limit{o.Name: r.environment.toleratedLimit(history.Limit{Rate: o.Rate, Burst: o.Burst})}
		f.add(o, result)
	}
	f.require(f.StaleReads == 0, "a moved session read an older state %d times", f.StaleReads)
	f.require(f.WriteGapMillis < writeGapTarget.Milliseconds(), "no write was acknowledged for %d ms", f.WriteGapMillis)
	f.require(r.withdrawalDelay < withdrawalTarget, "a withdrawn key worked for %d ms", f.KeyWithdrawalMillis)
	return f, nil
}

// add counts one account's history.
func (f *Figures) add(o accountLoad, result *load.Result) {
	counts := result.Counts[o.Name]
	f.Statements += counts.Sent
	f.OutcomeUnknown += counts.Unknown
	f.Failures[o.Name] = result.Failures[o.Name]
	if o.startFraction == 0 && o.Name != withdrawnAccount {
		f.WriteGapMillis = max(f.WriteGapMillis, result.WriteGap.Milliseconds())
	}
	for _, v := range history.Check(result.History) {
		f.addViolation(v)
	}
	f.addShare(o, result, counts)
}

func (f *Figures) addViolation(v history.Violation) {
	switch v := v.(type) {
	case history.StaleRead:
		f.StaleReads++
	case history.LostWrite:
		f.LostAckedWrites++
	case history.RanAfterNotRun:
		f.FalseNotRun++
	case history.OverAdmitted:
		f.AdmittedOverRate += int(float64(v.Admitted) - v.Allowed + 1)
	}
	f.require(false, "%s", v)
}

// addShare compares what an account got with what it was entitled to: what it sent, at most its
// burst and rate.
func (f *Figures) addShare(o accountLoad, result *load.Result, counts load.Counts) {
	if o.Name == withdrawnAccount {
		return // refused on purpose after the withdrawal
	}
	f.RefusedInsideRate += history.RefusedWithinLimit(result.History)[o.Name]
	entitled := min(float64(counts.Sent+counts.Missed), o.Burst+o.Rate*result.Elapsed.Seconds())
	share := min(float64(counts.Succeeded)/entitled, 1)
	if f.WorstAccount == "" || share < f.WorstAccountShare {
		f.WorstAccountShare, f.WorstAccount = share, o.Name
	}
}

func (f *Figures) require(kept bool, format string, args ...any) {
	if !kept && len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// Table writes the report for a person.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, of func(Figures) any) {
		fmt.Fprintf(t, "%s\t"+format, name, of(r.Figures))
		if r.Baseline != nil {
			fmt.Fprintf(t, "\t"+format, of(*r.Baseline))
		}
		fmt.Fprintln(t)
	}
	columns := "measure\tcyclamenstile"
	if r.Baseline != nil {
		columns += "\tplain policy"
	}
	fmt.Fprintln(t, columns)
	row("statements", "%d", func(f Figures) any { return f.Statements })
	row("reads served by replicas", "%.1f%%", func(f Figures) any { return 100 * f.ReplicaReadShare })
	row("stale reads", "%d", func(f Figures) any { return f.StaleReads })
	row("gap in writes, ms", "%d", func(f Figures) any { return f.WriteGapMillis })
	row("lost acknowledged writes", "%d", func(f Figures) any { return f.LostAckedWrites })
	row("worst account's share of its entitlement", "%.1f%%", func(f Figures) any { return 100 * f.WorstAccountShare })
	row("refused inside the rate", "%d", func(f Figures) any { return f.RefusedInsideRate })
	row("admitted over the rate", "%d", func(f Figures) any { return f.AdmittedOverRate })
	row("false \"not run\"", "%d", func(f Figures) any { return f.FalseNotRun })
	row("outcome unknown", "%d", func(f Figures) any { return f.OutcomeUnknown })
	row("withdrawn key worked for, ms", "%d", func(f Figures) any { return f.KeyWithdrawalMillis })
	row("broken promises", "%d", func(f Figures) any { return len(f.Violations) })
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		if _, err := fmt.Fprintln(w, "broken promise:", v); err != nil {
			return err
		}
	}
	return nil
}
