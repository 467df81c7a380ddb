package connlimit

const (
	// oversubscription is the number of statements sent to a server per slot: one that runs and one that is ready
	// when the slot becomes free. More would only queue at the server, in order of arrival.
	oversubscription = 2
	// maxWeight is the weight of the highest priority; that of the lowest is 1.
	maxWeight = 8
)

// MaxExecutions returns how many statements one instance may have outstanding at a server whose slots it shares with
// other instances.
func MaxExecutions(slots, instances int) int {
	n := max(instances, 1)
	return max((oversubscription*slots+n-1)/n, 1)
}

// Weight returns the scheduling weight of a priority, where 0 is the highest. Lower priorities get less of a busy
// server but are not starved.
func Weight(priority int) int {
	return max(maxWeight>>max(priority, 0), 1)
}
