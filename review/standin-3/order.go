package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderDelay is how long after it arrived the platform carries out the call that it leaves without a response.
	orderDelay = 8 * time.Second
	// releaseGap is the time between the replacement of two servers in a release.
	releaseGap = 4500 * time.Millisecond
	// promoteTime is the time from a call until the server leads.
	promoteTime = 300 * time.Millisecond
	// selfDemotion is how long a replaced primary goes on that reaches the new one.
	selfDemotion = time.Second
)

// promoter is the platform's service of promotions, which does not check fences.
type promoter struct {
	w        *world
	late     bool // the first call is left without a response and carried out late
	calls    atomic.Int32
	mu       sync.Mutex
	effects  []effect // promotions that have taken effect
	listener net.Listener
}

type effect struct {
	server string
	at     time.Time
}

func startPromoter(w *world, late bool) (*promoter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &promoter{w: w, late: late, listener: l}
	w.promotions = l.Addr().String()
	go func() { _ = http.Serve(l, p) }() // ends with the process
	return p, nil
}

// ServeHTTP answers POST /promote.
func (p *promoter) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	n := p.calls.Add(1)
	p.w.rec.logf("platform: call %d, POST /promote of %s by %s with fence %s", n, in.ID,
		r.Header.Get("X-Cyclamenstile-Lease-Holder"), r.Header.Get("X-Cyclamenstile-Fencing-Token"))
	if n == 1 && p.late {
		p.w.rec.logf("platform: call %d gets no response", n)
		time.AfterFunc(orderDelay, func() { p.carryOut(n, in.Service, in.ID) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(promoteTime)
	p.carryOut(n, in.Service, in.ID)
}

// carryOut promotes a server. The former primary goes on until it is told to step down, or has reached the new one for a second.
func (p *promoter) carryOut(call int32, service, id string) {
	g := p.w.groups[service]
	former := g.Primary()
	if former == id {
		p.w.rec.logf("platform: call %d changes nothing, %s is the primary", call, id)
		return
	}
	g.Promote(id)
	p.mu.Lock()
	p.effects = append(p.effects, effect{id, time.Now()})
	p.mu.Unlock()
	p.w.rec.logf("platform: call %d takes effect, %s leads; the primary before was %q", call, id, former)
	p.w.writeEntries()
	if former != "" {
		time.AfterFunc(selfDemotion, func() {
			if g.Leads(former) && g.Primary() != former {
				p.w.demote(service, former)
			}
		})
	}
}

// demote makes a replaced server a replica, as it does itself once it has reached the new primary.
func (w *world) demote(service, id string) {
	conn, err := net.Dial("tcp", w.groups[service].Address(id))
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "STARTUP %s - %s\r\nQUERY - STEPDOWN 1000\r\nTERMINATE\r\n", service, id)
	buffer := make([]byte, 512)
	for n := 1; n > 0; {
		n, _ = conn.Read(buffer)
	}
	w.rec.logf("server %s has reached the new primary and is a replica", id)
	w.writeEntries()
}

// playLateOrder replaces the servers of a database one after the other. The platform leaves its first promotion without a response and
// carries it out seconds later, after newer ones. It checks whether writes are acknowledged that the old primary has run after that.
func playLateOrder(w *world, trouble bool) (broken bool, err error) {
	const service, key = "ledger-core", "k-accra"
	w.unfenced = true
	p, err := startPromoter(w, trouble)
	if err != nil {
		return false, err
	}
	if err := w.addService(service); err != nil {
		return false, err
	}
	g := w.groups[service]
	g.SetUnfenced()
	if _, err := w.putConfig(3, 800, tenant{"accra", []string{key}}); err != nil {
		return false, err
	}
	if err := w.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	load := startWriters(w, service+"-main", key)
	time.Sleep(2 * time.Second)
	first := time.Now()
	w.drain(w.entries[0])
	time.Sleep(releaseGap)
	if second := w.entryOf(g.Primary()); second != nil && second != w.entries[0] {
		w.drain(second)
	} else {
		return false, fmt.Errorf("no other server leads %s after the first one began to drain: %q", releaseGap, g.Primary())
	}
	time.Sleep(time.Until(first.Add(orderDelay + 5*time.Second)))
	acknowledged := load.stop()
	w.logExecuted()
	served, lost := 0, 0
	for _, s := range g.ExecutedStatements() {
		at, ok := acknowledged[s.ID]
		if !ok {
			continue
		}
		served++
		if s.OnFormerPrimary && s.TookEffect {
			promoted, since := p.latest(s.At)
			w.rec.logf("BROKEN: %s was committed at %s, %.0f ms after the promotion of %s had taken effect, and acknowledged at %.3f",
				s.ID, s.Server, s.At.Sub(since).Seconds()*1000, promoted, w.rec.at(at))
			lost++
		}
	}
	w.rec.logf("%d writes were acknowledged, %d of them committed at an old primary; %d promotions took effect", served, lost, len(p.effects))
	if served < 100 || len(p.effects) < 2 {
		return false, fmt.Errorf("too little happened")
	}
	return lost > 0, nil
}

// latest returns the newest promotion before a time.
func (p *promoter) latest(t time.Time) (server string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.effects {
		if !e.at.After(t) {
			server, at = e.server, e.at
		}
	}
	return server, at
}

// drain makes a server report that it is draining.
func (w *world) drain(e *entry) {
	w.mu.Lock()
	e.draining = true
	w.mu.Unlock()
	w.writeEntries()
	w.rec.logf("server %s reports that it is draining", e.id)
}

func (w *world) entryOf(id string) *entry {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// writers are clients that write all the time, on sessions at all instances.
type writers struct {
	ended        chan struct{}
	done         sync.WaitGroup
	mu           sync.Mutex
	acknowledged map[string]time.Time
}

func startWriters(w *world, route, key string) *writers {
	load := &writers{ended: make(chan struct{}), acknowledged: map[string]time.Time{}}
	for i := range 6 {
		load.done.Go(func() { load.write(w, i, route, key) })
	}
	return load
}

func (l *writers) write(w *world, i int, route, key string) {
	name := fmt.Sprintf("client-%d", i+1)
	var c *client
	for n := 0; ; n++ {
		select {
		case <-l.ended:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = connect(w.rec, name, w.edges[i%len(w.edges)].callers, route, key); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("w%d-%d", i+1, n)
		r, err := c.query(id, fmt.Sprintf("WRITE item%d-%d data", i+1, n))
		switch {
		case err != nil:
			c.close()
			c = nil
		case r.ok():
			l.mu.Lock()
			l.acknowledged[id] = time.Now()
			l.mu.Unlock()
		}
	}
}

func (l *writers) stop() map[string]time.Time {
	close(l.ended)
	l.done.Wait()
	return l.acknowledged
}
