package fairqueue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fairnessLimit is the stated target for the largest relative change of the other accounts' p99.
const fairnessLimit = 0.10

// event is the arrival or the end of a statement in the simulation.
type event struct {
	at      time.Duration
	arrival string // account; empty for the end of a statement
	id      RequestID
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// server simulates three slots. Statements take 2 ms, or 25 ms if they start during one of the stalls, which
// occur twice a second.
type server struct {
	q       *Queue
	pending events
	arrived map[RequestID]event
	waits   []time.Duration // of all accounts except burstAccount
}

// burstAccount is the account whose statements come in bursts.
const burstAccount = "one"

func (s *server) start(now time.Duration, ids []RequestID) {
	for _, id := range ids {
		took := 2 * ms
		if now%(500*ms) < 5*ms {
			took = 25 * ms
		}
		heap.Push(&s.pending, event{at: now + took, id: id})
		if a := s.arrived[id]; a.arrival != burstAccount {
			s.waits = append(s.waits, now-a.at)
		}
	}
}

// run processes all arrivals and returns the p99 of waiting plus service time of the other accounts.
func (s *server) run() time.Duration {
	var next RequestID
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		if e.arrival == "" {
			s.start(e.at, s.q.ReleaseSlot(e.at, e.id))
			s.start(e.at, s.q.ReleaseConnection(e.at))
			continue
		}
		next++
		s.arrived[next] = e
		if s.q.Submit(e.at, Request{ID: next, Account: e.arrival, Weight: 1, Deadline: 1 << 62}).Verdict == Granted {
			s.start(e.at, []RequestID{next})
		}
	}
	slices.Sort(s.waits)
	return 2*ms + s.waits[len(s.waits)*99/100]
}

// simulateBursts runs seven accounts that stay below their share, and one whose admitted statements arrive in bursts
// of the given size at an average of 300 statements a second.
func simulateBursts(seed uint64, burst int) time.Duration {
	const length = 60 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	s := &server{q: New(Config{Slots: 3, Connections: 20, QueuePerAccount: 1000}), arrived: make(map[RequestID]event)}
	for i := range 7 {
		for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(time.Second) / 48) {
			s.pending = append(s.pending, event{at: at, arrival: fmt.Sprint("other-", i)})
		}
	}
	gap := time.Duration(burst) * time.Second / 300
	for at := gap; at < length; at += gap {
		for range burst {
			s.pending = append(s.pending, event{at: at, arrival: burstAccount})
		}
	}
	heap.Init(&s.pending)
	return s.run()
}

// Guards against accounts below their share waiting behind the bursts of an account that exceeds its own, after a
// stall of the server has caused them to be charged for a long statement.
func TestBurstsOfOneAccountDontDelayTheOthers(t *testing.T) {
	for seed := range uint64(5) {
		even, bursts := simulateBursts(seed, 1), simulateBursts(seed, 60)
		change := float64(bursts)/float64(even) - 1
		t.Logf("seed %d: p99 %s with even arrivals, %s with bursts: %+.1f%%", seed, even, bursts, 100*change)
		if change > fairnessLimit {
			t.Errorf("seed %d: the p99 of the other accounts changes by %.1f%%, want at most %.0f%%", seed, 100*change, 100*fairnessLimit)
		}
	}
}
