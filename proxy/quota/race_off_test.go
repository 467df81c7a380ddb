//go:build !race

package quota

// raceEnabled: processor time under the race detector says nothing about the budget.
const raceEnabled = false
