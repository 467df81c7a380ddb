package connlimit

const (
	// oversubscription is how many statements are sent to a server for each of its slots: one that runs, and one
	// that is there when the slot becomes free. More would only queue at the server, in the order of arrival.
	oversubscription = 2
	// maxWeight is the share of a slot that a statement of the highest priority gets against one of the lowest.
	maxWeight = 8
)

// MaxExecutions returns how many statements one instance sends to a server at a time, when it shares the server's slots
// with others.
func MaxExecutions(slots, instances int) int {
	n := max(instances, 1)
	return max((oversubscription*slots+n-1)/n, 1)
}

// Weight returns the weight of a priority, of which 0 is the highest. Lower ones get less of a busy server, but are
// not starved.
func Weight(priority int) int {
	return max(maxWeight>>max(priority, 0), 1)
}
