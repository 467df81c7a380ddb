package burn

// Class says how a statement counts against the objective.
type Class int

const (
	// Good is a statement that was answered in time.
	Good Class = iota
	// RefusedInsideRate is a statement that the quota admitted and that was refused for lack of
	// capacity: no slot of the server became free in time.
	RefusedInsideRate
	// Unknown is a statement that may have run.
	Unknown
	// Late is a statement that was answered after the latency objective.
	Late
	// NotRun is a statement that did not run for another reason than a limit.
	NotRun
	// OverRate is a statement above its account's rate. It is neither good nor bad.
	OverRate
)

// Classes lists all classes.
func Classes() []Class {
	return []Class{Good, RefusedInsideRate, Unknown, Late, NotRun, OverRate}
}

// String names the class as metrics show it.
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

// ByClass returns the number of one class.
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

// Bad is the number of statements that spend the budget.
func (c Counts) Bad() uint64 {
	return c.RefusedInsideRate + c.Unknown + c.Late + c.NotRun
}

// Total is the number of statements that the objective is about.
func (c Counts) Total() uint64 {
	return c.Good + c.Bad()
}

// BurnRate is the share of bad statements relative to the share that the objective allows; 0
// without statements.
func (c Counts) BurnRate(o Objective) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) * 100 / (100 - o.Availability)
}
