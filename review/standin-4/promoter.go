package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promoter is the platform's service for promotions.
type promoter struct {
	fenced bool
	carry  func(id string) (running bool)
	// late tells, by the number of the call from 1 on and the server that it names, whether it gets no answer and is carried out later.
	late func(number int, id string) (after time.Duration, late bool)
	note func(format string, args ...any)

	server  *http.Server
	address string

	mu      sync.Mutex
	number  int
	highest uint64
}

func (p *promoter) start() error {
	l, err := listen()
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.serve)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

func (p *promoter) setLate(late func(number int, id string) (after time.Duration, late bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = late
}

func (p *promoter) serve(w http.ResponseWriter, req *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	token, err := strconv.ParseUint(req.Header.Get("X-Cyclamenstile-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.number++
	number, late := p.number, p.late
	p.mu.Unlock()
	p.note("call %d to promote %s arrives from %s with the token %d", number, in.ID, req.Header.Get("X-Cyclamenstile-Lease-Holder"), token)
	if late != nil {
		if after, isLate := late(number, in.ID); isLate {
			p.note("call %d gets no answer, and is carried out %s later", number, after)
			time.AfterFunc(after, func() { p.carryOut(number, in.ID, token) })
			panic(http.ErrAbortHandler) // closes the connection
		}
	}
	if !p.carryOut(number, in.ID, token) {
		w.WriteHeader(http.StatusConflict)
	}
}

// carryOut carries out a call, unless its token is lower than one already seen and tokens are checked.
func (p *promoter) carryOut(number int, id string, token uint64) bool {
	p.mu.Lock()
	stale := p.fenced && token < p.highest
	p.highest = max(p.highest, token)
	p.mu.Unlock()
	done := !stale && p.carry(id)
	p.note("call %d to promote %s is carried out now: accepted %t", number, id, done)
	return done
}
