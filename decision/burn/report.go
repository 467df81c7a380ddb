package burn

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

// Objective is a service-level objective.
type Objective struct {
	// Availability is the percentage of good statements, above 0 and below 100.
	Availability float64 `json:"availabilityPercent"`
	// Latency is the longest time in which a good statement is answered.
	Latency manifest.Duration `json:"latency"`
}

// String formats the objective for operators.
func (o Objective) String() string {
	return fmt.Sprintf("%.6g%% within %v", o.Availability, o.Latency.Std())
}

// Alarm is the burn-rate or budget limit that a series exceeds, if any.
type Alarm string

const (
	// NoAlarm means that the series is within its limits.
	NoAlarm Alarm = ""
	// FastBurn means that the series spends at least 2% of the 30-day budget in one hour.
	FastBurn Alarm = "fast_burn"
	// SlowBurn means that the series spends at least 5% of the 30-day budget in 6 hours.
	SlowBurn Alarm = "slow_burn"
	// Exhausted means that no budget is left.
	Exhausted Alarm = "budget_exhausted"
)

const (
	// FastBurnRate spends 2% of the 30-day budget in one hour: 0.02 * 30 * 24.
	FastBurnRate = 14.4
	// SlowBurnRate spends 5% of the 30-day budget in 6 hours: 0.05 * 30 * 24 / 6.
	SlowBurnRate = 6
	// minAlarmBadStatements prevents alarms after one or two bad statements of an account with little traffic.
	minAlarmBadStatements = 5
)

// Report is the state of the error budgets on one or several instances.
type Report struct {
	Instances []string  `json:"instances"`
	Objective Objective `json:"objective"`
	Series    []Series  `json:"series"`
}

// Series is the report of one account on one route.
type Series struct {
	Key
	// Windows are in the order of the Window constants.
	Windows    []WindowReport `json:"windows"`
	BudgetLeft float64        `json:"budgetLeft"` // fraction of the 30-day budget; negative when overspent
	Alarm      Alarm          `json:"alarm,omitempty"`
}

// WindowReport is the report of one window.
type WindowReport struct {
	Window   Window  `json:"window"`
	Counts   Counts  `json:"counts"`
	BurnRate float64 `json:"burnRate"`
}

func newSeries(k Key, counts [windowCount]Counts, o Objective) Series {
	s := Series{Key: k, BudgetLeft: 1 - counts[ThirtyDays].BurnRate(o)}
	for w := range windowCount {
		s.Windows = append(s.Windows, WindowReport{Window: w, Counts: counts[w], BurnRate: counts[w].BurnRate(o)})
	}
	s.Alarm = s.alarm()
	return s
}

// alarm requires a high burn rate in a long window, which shows that it is significant, and in a
// shorter one, which shows that it continues.
func (s Series) alarm() Alarm {
	exceeds := func(w Window, rate float64) bool {
		r := s.Windows[w]
		return r.BurnRate >= rate && r.Counts.Bad() >= minAlarmBadStatements
	}
	switch {
	case exceeds(OneHour, FastBurnRate) && exceeds(FiveMinutes, FastBurnRate):
		return FastBurn
	case exceeds(SixHours, SlowBurnRate) && exceeds(OneHour, SlowBurnRate):
		return SlowBurn
	case s.BudgetLeft <= 0 && s.Windows[ThirtyDays].Counts.Bad() >= minAlarmBadStatements:
		return Exhausted
	}
	return NoAlarm
}

// Alarmed reports whether any series has an alarm.
func (r Report) Alarmed() bool {
	for _, s := range r.Series {
		if s.Alarm != NoAlarm {
			return true
		}
	}
	return false
}

// Validate checks a report that another release may have written.
func (r Report) Validate() error {
	if r.Objective.Availability <= 0 || r.Objective.Availability >= 100 {
		return errors.Newf("availability objective %v is not between 0 and 100 percent", r.Objective.Availability)
	}
	for _, s := range r.Series {
		if len(s.Windows) != int(windowCount) {
			return errors.Newf("account %q on route %q has %d windows, not %d", s.Account, s.Route, len(s.Windows), windowCount)
		}
		for i, w := range s.Windows {
			if w.Window != Window(i) {
				return errors.Newf("account %q on route %q has window %v in the place of %v", s.Account, s.Route, w.Window, Window(i))
			}
		}
	}
	return nil
}

// Merge adds up valid reports of different instances. They must have the same objective, because
// with different ones the same statement may be late on one instance and good on another.
func Merge(reports []Report) (Report, error) {
	merged := Report{Instances: []string{}, Series: []Series{}}
	sums := make(map[Key]*[windowCount]Counts)
	for i, r := range reports {
		if i > 0 && r.Objective != merged.Objective {
			return Report{}, errors.Newf("instances %v have the objective %v, but %v have %v; give all instances the same",
				r.Instances, r.Objective, merged.Instances, merged.Objective)
		}
		merged.Objective = r.Objective
		merged.Instances = append(merged.Instances, r.Instances...)
		for _, s := range r.Series {
			if sums[s.Key] == nil {
				sums[s.Key] = new([windowCount]Counts)
			}
			for w := range windowCount {
				sums[s.Key][w].add(s.Windows[w].Counts)
			}
		}
	}
	for k, counts := range sums {
		merged.Series = append(merged.Series, newSeries(k, *counts, merged.Objective))
	}
	merged.sort()
	return merged, nil
}
