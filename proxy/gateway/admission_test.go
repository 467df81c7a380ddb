package gateway

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerTimes collects the answer times of callers of one route while a server is overloaded.
type answerTimes struct {
	mu      sync.Mutex
	served  []time.Duration
	refused []time.Duration
	other   []string
}

func (a *answerTimes) record(answer string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case strings.Contains(answer, "receipt"):
		a.served = append(a.served, took)
	case strings.HasPrefix(answer, "BUSY"):
		a.refused = append(a.refused, took)
	default:
		a.other = append(a.other, answer)
	}
}

// Guards against an overload in which urgent statements wait behind less urgent ones, callers wait in vain, or
// the server gets more concurrent statements than it has slots. The server can run 200 statements a second; 24
// callers of the patient route send as fast as they can, and an urgent one 20 times a second.
func TestOverload(t *testing.T) {
	f := newFixture(t)
	f.setWork(2, 10*time.Millisecond)
	end := time.Now().Add(3 * time.Second)
	var urgent, patient answerTimes
	var callers sync.WaitGroup
	for i := range 24 {
		c := f.open("patient")
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				patient.record(c.ask(fmt.Sprintf("p%d-%d", i, n), "READ x"), time.Since(began))
			}
		})
	}
	c := f.open("urgent")
	for n := 0; time.Now().Before(end); n++ {
		began := time.Now()
		urgent.record(c.ask(fmt.Sprint("u", n), "WRITE x v"), time.Since(began))
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	if len(urgent.other)+len(patient.other) > 0 {
		t.Errorf("unexpected answers: urgent %q, patient %q", urgent.other, patient.other)
	}
	if len(urgent.refused) > 0 || len(urgent.served) < 10 {
		t.Errorf("urgent statements: %d served, %d refused, want at least 10 served and none refused", len(urgent.served), len(urgent.refused))
	}
	slices.Sort(urgent.served)
	if median := urgent.served[len(urgent.served)/2]; median > 250*time.Millisecond {
		t.Errorf("median time of urgent statements is %s, want at most 250 ms", median)
	}
	if len(patient.served) < 200 {
		t.Errorf("%d patient statements were served in 3 s, want at least 200 of the 600 that the server can run", len(patient.served))
	}
}

// Guards against a statement that waits although the queue ahead of it is longer than its time. The server runs
// some 16 statements a second; 60 arrive at once, of which those behind the first dozen can't run in time.
func TestHopelessStatementIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.setWork(1, 60*time.Millisecond)
	var callers sync.WaitGroup
	for i := range 6 {
		c := f.open("patient")
		callers.Go(func() {
			for n := range 8 {
				// Lets the queue measure how long statements take on the busy server.
				c.want(fmt.Sprintf("w%d-%d", i, n), "WRITE x v", "receipt|READY I -")
			}
		})
	}
	callers.Wait()
	var times answerTimes
	for i := range 60 {
		c := f.open("patient")
		callers.Go(func() {
			began := time.Now()
			times.record(c.ask(fmt.Sprint("q", i), "READ x"), time.Since(began))
		})
	}
	callers.Wait()
	if len(times.refused) < 30 || len(times.served) < 5 || len(times.other) > 0 {
		t.Fatalf("%d of 60 were refused, %d served, unexpected answers %q; want at least 30 refused, 5 served and no other answer", len(times.refused), len(times.served), times.other)
	}
	slices.Sort(times.refused)
	if median := times.refused[len(times.refused)/2]; median > 250*time.Millisecond {
		t.Errorf("median time of refusals is %s, want at most 250 ms", median)
	}
}
