package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
)

// pingInterval is heartbeat_ms of the settings in the users' pages. An entry is removed after three of them in silence.
const pingInterval = 1200 * time.Millisecond

// cloud is the platform's store and its promote call.
type cloud struct {
	store  *platformtest.Platform
	out    *journal
	group  *group
	fenced bool

	address string
	server  *http.Server

	mu       sync.Mutex
	fence    uint64 // highest seen
	calls    int
	late     func(call int, server string) time.Duration // how much later a call without an answer is carried out; 0: it is answered
	sequence uint64
	gone     map[string]bool
}

func startCloud(out *journal, g *group, fenced bool) (*cloud, error) {
	store, err := platformtest.Start(func(string, string) bool { return false })
	if err != nil {
		return nil, err
	}
	store.HideEra()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{
		store: store, out: out, group: g, fenced: fenced, address: listener.Addr().String(),
		late: func(int, string) time.Duration { return 0 }, gone: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.servePromote)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(listener) }() // ends with close
	return c, nil
}

func (c *cloud) close() {
	_ = c.server.Close()
	c.store.Close()
}

func (c *cloud) servePromote(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Cyclamenstile-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.calls++
	call := c.calls
	late := c.late(call, in.ID)
	c.mu.Unlock()
	holder := r.Header.Get("X-Cyclamenstile-Lease-Holder")
	if late > 0 {
		c.out.add("promote call %d of %s: %s, fence %d, gets no answer and is carried out %s later", call, holder, in.ID, fence, late)
		time.AfterFunc(late, func() {
			c.out.add("promote call %d is carried out: %d", call, c.carryOut(in.ID, fence))
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := c.carryOut(in.ID, fence)
	c.out.add("promote call %d of %s: %s, fence %d, answered %d", call, holder, in.ID, fence, status)
	w.WriteHeader(status)
}

// carryOut checks the fence and orders the promote.
func (c *cloud) carryOut(id string, fence uint64) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced && fence < c.fence {
		return http.StatusConflict
	}
	c.fence = max(c.fence, fence)
	if !c.group.order(id) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// register writes the entry of a server as it is now.
func (c *cloud) register(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone[s.id] {
		return
	}
	c.sequence++
	s.g.mu.Lock()
	silent := s.dark || s.crashed
	spec, err := platform.EncodeServer(discovery.Server{
		Database: s.g.name, Address: s.address, FailureDomain: s.zone, Slots: slots, Primary: s.leads, Leaving: s.draining,
		Sequence: c.sequence, Started: s.born,
	})
	s.g.mu.Unlock()
	if err != nil || silent {
		return
	}
	_ = c.store.Put(platform.ServersKind, s.id, json.RawMessage(spec)) // the store is in this process
}

// expire removes the entry of a server that has been silent for three ping intervals.
func (c *cloud) expire(s *server) {
	time.AfterFunc(3*pingInterval, func() {
		s.g.mu.Lock()
		silent := s.dark || s.crashed
		s.g.mu.Unlock()
		if silent {
			c.out.add("the entry of %s is removed", s.id)
			c.store.Delete(platform.ServersKind, s.id)
		}
	})
}

// leave removes the entry of a server that ends in order.
func (c *cloud) leave(s *server) {
	c.mu.Lock()
	c.gone[s.id] = true
	c.mu.Unlock()
	c.store.Delete(platform.ServersKind, s.id)
	s.crash()
}

// drain makes a server report that it is draining. It returns when the store has accepted the report.
func (c *cloud) drain(s *server) {
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	c.register(s)
	c.out.add("%s reports draining", s.id)
}
