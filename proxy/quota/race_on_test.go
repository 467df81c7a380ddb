//go:build race

package quota

// raceEnabled is true in builds with the race detector, whose processor time can't be compared with the budget.
const raceEnabled = true
