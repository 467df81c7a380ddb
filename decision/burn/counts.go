package burn

// Class is how a statement counts towards the objective.
type Class int

const (
	// Good is a statement that was answered within the latency objective.
	Good Class = iota
	// RefusedInsideRate is a statement that the quota admitted but that was refused for lack of
	// capacity, because no slot of the server became free in time.
	RefusedInsideRate
	// Unknown is a statement of unknown outcome: it may have run.
	Unknown
	// Late is a statement that was answered after the latency objective.
	Late
	// NotRun is a statement that did not run for a reason other than a limit.
	NotRun
	// OverRate is a statement that exceeded its account's rate. It is neither good nor bad.
	OverRate
)

// Classes returns all classes.
func Classes() []Class {
	return []Class{Good, RefusedInsideRate, Unknown, Late, NotRun, OverRate}
}

// String returns the name of the class in metrics.
func (c Class) String() string {
	return [...]string{"good", "refused_inside_rate", "outcome_unknown", "late", "other_not_run", "over_rate"}[c]
}

// Counts holds the number of statements of each class.
type Counts struct {
	Good              uint64 `json:"good"`
	RefusedInsideRate uint64 `json:"refusedInsideRate"`
	Unknown           uint64 `json:"outcomeUnknown"`
	Late              uint64 `json:"late"`
	NotRun            uint64 `json:"otherNotRun"`
	OverRate          uint64 `json:"overRate"` // neither good nor bad
}

// ByClass returns the number of statements of one class.
func (c Counts) ByClass(class Class) uint64 {
	return *c.field(class)
}

func (c *Counts) field(class Class) *uint64 {
	switch class {
	case Good:
		return &c.Good
	case RefusedInsideRate:
		return &c.RefusedInsideRate
	case Unknown:
		return &c.Unknown
	case Late:
		return &c.Late
	case NotRun:
		return &c.NotRun
	}
	return &c.OverRate
}

func (c *Counts) add(other Counts) {
	for _, class := range Classes() {
		*c.field(class) += other.ByClass(class)
	}
}

// Bad returns the number of statements that count against the error budget.
func (c Counts) Bad() uint64 {
	return c.RefusedInsideRate + c.Unknown + c.Late + c.NotRun
}

// Total returns the number of good and bad statements.
func (c Counts) Total() uint64 {
	return c.Good + c.Bad()
}

// BurnRate returns the fraction of bad statements divided by the fraction that the objective
// allows, or 0 without statements.
func (c Counts) BurnRate(o Objective) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) * 100 / (100 - o.Availability)
}
