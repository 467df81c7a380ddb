package gateway

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerTimes is what callers of one route got while a server was asked for more than it can do.
type answerTimes struct {
	mu      sync.Mutex
	served  []time.Duration
	refused []time.Duration
	other   []string
}

func (o *answerTimes) record(answer string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case strings.Contains(answer, "receipt"):
		o.served = append(o.served, took)
	case strings.HasPrefix(answer, "BUSY"):
		o.refused = append(o.refused, took)
	default:
		o.other = append(o.other, answer)
	}
}

// Guards against an overload in which urgent statements wait behind patient ones, callers are held for nothing, or
// the server gets more at once than it has slots for. The server can run 200 statements a second; 24 patient callers
// ask as fast as they can, and an urgent one 20 times a second.
func TestOverload(t *testing.T) {
	b := newFixture(t)
	b.setWork(2, 10*time.Millisecond)
	end := time.Now().Add(3 * time.Second)
	var urgent, patient answerTimes
	var callers sync.WaitGroup
	for i := range 24 {
		c := b.open("patient")
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				patient.record(c.ask(fmt.Sprintf("p%d-%d", i, n), "READ x"), time.Since(began))
			}
		})
	}
	c := b.open("urgent")
	for n := 0; time.Now().Before(end); n++ {
		began := time.Now()
		urgent.record(c.ask(fmt.Sprint("u", n), "WRITE x v"), time.Since(began))
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	if len(urgent.other)+len(patient.other) > 0 {
		t.Errorf("other answers: %q %q", urgent.other, patient.other)
	}
	if len(urgent.refused) > 0 || len(urgent.served) < 10 {
		t.Errorf("urgent statements: %d served, %d refused", len(urgent.served), len(urgent.refused))
	}
	slices.Sort(urgent.served)
	if median := urgent.served[len(urgent.served)/2]; median > 250*time.Millisecond {
		t.Errorf("half of the urgent statements took %s", median)
	}
	if len(patient.served) < 200 {
		t.Errorf("%d patient statements were served in 3 s by a server for 600", len(patient.served))
	}
}

// Guards against a statement that is held although the queue before it is longer than its time. The server runs some
// 16 statements a second; 60 come at once, of which those behind the first dozen can't be run in time.
func TestHopelessStatementIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t)
	b.setWork(1, 60*time.Millisecond)
	var callers sync.WaitGroup
	for i := range 6 {
		c := b.open("patient")
		callers.Go(func() {
			for n := range 8 {
				// Shows how long statements take while the server is busy.
				c.want(fmt.Sprintf("w%d-%d", i, n), "WRITE x v", "receipt|READY I -")
			}
		})
	}
	callers.Wait()
	var o answerTimes
	for i := range 60 {
		c := b.open("patient")
		callers.Go(func() {
			began := time.Now()
			o.record(c.ask(fmt.Sprint("q", i), "READ x"), time.Since(began))
		})
	}
	callers.Wait()
	if len(o.refused) < 30 || len(o.served) < 5 || len(o.other) > 0 {
		t.Fatalf("%d of 60 were refused, %d served, other answers %q", len(o.refused), len(o.served), o.other)
	}
	slices.Sort(o.refused)
	if median := o.refused[len(o.refused)/2]; median > 250*time.Millisecond {
		t.Errorf("half of the refusals took %s", median)
	}
}
