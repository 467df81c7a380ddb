package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the name with the highest rendezvous hash for key, or "" if names is empty.
// Removing another name never changes the result, and the order of names does not matter.
func Rendezvous(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := rendezvousScore(key, name)
		if best == "" || score > bestScore || score == bestScore && name > best {
			best, bestScore = name, score
		}
	}
	return best
}

// WeightedRendezvous returns a name for key, so that each name gets keys in proportion to its weight. Removing another
// name never changes the result, and the order of names does not matter. If a weight is not positive, all count as
// equal. It returns "" if names is empty.
func WeightedRendezvous(key string, names []string, weight func(name string) float64) string {
	known := !slices.ContainsFunc(names, func(name string) bool { return !(weight(name) > 0) })
	if !known {
		return Rendezvous(key, names)
	}
	best, bestScore := "", 0.0
	for _, name := range names {
		score := weight(name) / -math.Log(uniform(rendezvousScore(key, name)))
		if best == "" || score > bestScore || score == bestScore && name > best {
			best, bestScore = name, score
		}
	}
	return best
}

// uniform maps a hash to a number between 0 and 1, both exclusive.
func uniform(hash uint64) float64 {
	const bits = 53 // of a float64's mantissa
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// RendezvousTop returns the n names with the highest rendezvous hashes for key, highest first, or all names in this order if
// there are at most n. The order of names does not matter, and the result is a new slice.
func RendezvousTop(key string, names []string, n int) []string {
	type scored struct {
		score uint64
		name  string
	}
	ordered := make([]scored, 0, len(names))
	for _, name := range names {
		ordered = append(ordered, scored{rendezvousScore(key, name), name})
	}
	slices.SortFunc(ordered, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.name, a.name)) })
	out := make([]string, min(n, len(names)))
	for i := range out {
		out[i] = ordered[i].name
	}
	return out
}

func rendezvousScore(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
