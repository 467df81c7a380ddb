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

// Required times: a write gap below 3 s after a crash of the primary, and withdrawn keys that stop working within
// seconds.
const (
	writeGapTarget   = 3 * time.Second
	withdrawalTarget = 5 * time.Second
	maxViolations    = 20
)

// Figures holds the measurements of one policy.
type Figures struct {
	Statements        int     `json:"statements"`
	ReplicaReadShare  float64 `json:"replica_read_share"`
	SessionMoves      int     `json:"session_moves"`
	StaleReads        int     `json:"stale_reads"`
	WriteGapMillis    int64   `json:"write_gap_ms"`
	LostAckedWrites   int     `json:"lost_acked_writes"`
	WorstAccountShare float64 `json:"worst_account_share"` // of what it is entitled to
	WorstAccount      string  `json:"worst_account"`
	RefusedInsideRate int     `json:"refused_inside_rate"`
	AdmittedOverRate  int     `json:"admitted_over_rate"`
	FalseNotRun       int     `json:"false_not_run"`
	OutcomeUnknown    int     `json:"outcome_unknown"`
	// Failures counts the failed statements by account and reason.
	Failures            map[string]map[string]int `json:"failures"`
	KeyWithdrawalMillis int64                     `json:"key_withdrawal_ms"`
	Violations          []string                  `json:"violations"`
}

// Report holds the figures of both policies. Baseline, the plain policy, is nil on the users' platform.
type Report struct {
	Figures
	Baseline *Figures `json:"baseline,omitempty"`
	Seed     uint64   `json:"seed"`
}

// HasViolations reports whether any guarantee was violated.
func (r *Report) HasViolations() bool {
	return len(r.Violations) > 0
}

// measure checks the histories and summarizes what callers experienced.
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
	for _, a := range accountLoads() {
		result := r.results[a.Name]
		if result == nil {
			continue
		}
		if err := r.environment.readFinalContent(ctx, result); err != nil {
			return f, err
		}
		result.History.Limits = map[string]history.Limit{a.Name: r.environment.toleratedLimit(history.Limit{Rate: a.Rate, Burst: a.Burst})}
		f.add(a, result)
	}
	f.require(f.StaleReads == 0, "a moved session read an older state %d times", f.StaleReads)
	f.require(f.WriteGapMillis < writeGapTarget.Milliseconds(), "no write was acknowledged for %d ms", f.WriteGapMillis)
	f.require(r.withdrawalDelay < withdrawalTarget, "a withdrawn key worked for %d ms", f.KeyWithdrawalMillis)
	return f, nil
}

// add adds the results of one account and the violations in its history.
func (f *Figures) add(a accountLoad, result *load.Result) {
	counts := result.Counts[a.Name]
	f.Statements += counts.Sent
	f.OutcomeUnknown += counts.Unknown
	f.Failures[a.Name] = result.Failures[a.Name]
	if a.startFraction == 0 && a.Name != withdrawnAccount {
		f.WriteGapMillis = max(f.WriteGapMillis, result.WriteGap.Milliseconds())
	}
	for _, v := range history.Check(result.History) {
		f.addViolation(v)
	}
	f.addShare(a, result, counts)
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

// addShare compares the statements of an account that succeeded with what it was entitled to: the statements that
// it sent or missed, limited by its burst and rate.
func (f *Figures) addShare(a accountLoad, result *load.Result, counts load.Counts) {
	if a.Name == withdrawnAccount {
		return // its statements are refused after the withdrawal
	}
	f.RefusedInsideRate += history.RefusedWithinLimit(result.History)[a.Name]
	entitled := min(float64(counts.Sent+counts.Missed), a.Burst+a.Rate*result.Elapsed.Seconds())
	share := min(float64(counts.Succeeded)/entitled, 1)
	if f.WorstAccount == "" || share < f.WorstAccountShare {
		f.WorstAccountShare, f.WorstAccount = share, a.Name
	}
}

func (f *Figures) require(holds bool, format string, args ...any) {
	if !holds && len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// Table writes the report as a table.
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
