package database

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// firstTerm is the term of a new group.
const firstTerm = 1

// state holds a server's rows, log, fence and role. A change is written to the journal before it becomes
// visible.
type state struct {
	id      authority.ServerID
	storage storage
	// dropClients closes all client connections; it is called before a new incarnation becomes visible.
	dropClients func()

	mu                 sync.Mutex
	rows               map[string]string
	log                []*record // log[i] has LSN i+1
	history            position.History
	incarnation        uint64
	fence              fence
	promoted           uint64 // term of which this server is the primary, 0 if none
	lastPrimaryContact time.Time
	stopped            bool
	changed            chan struct{} // closed at the next change; nil if no goroutine waits
}

func openState(id authority.ServerID, journal storage, primary bool, drop func()) (*state, error) {
	s := &state{id: id, storage: journal, dropClients: drop, lastPrimaryContact: time.Now()}
	s.reset()
	entries, err := journal.load()
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		s.replay(e)
	}
	if len(entries) == 0 && primary {
		if err := s.setPromoted(firstTerm); err != nil {
			return nil, err
		}
	}
	return s, s.nextIncarnation()
}

func (s *state) reset() {
	s.rows = make(map[string]string)
	s.log = nil
	s.history = position.History{{Term: firstTerm}}
}

func (s *state) replay(e entry) {
	switch {
	case e.Record != nil:
		s.apply(e.Record)
	case e.Fence != nil:
		s.fence = *e.Fence
	case e.Promoted != nil:
		s.promoted = *e.Promoted
	case e.Rewind != nil:
		s.truncateLog(*e.Rewind)
	case e.Incarnation != 0:
		s.incarnation = e.Incarnation
	}
}

// apply adds a record to the log and the rows.
func (s *state) apply(r *record) {
	s.log = append(s.log, r)
	if r.Begin {
		s.history = append(s.history, position.TermStart{Term: r.Term, Start: r.LSN - 1})
	}
	for _, o := range r.Ops {
		switch o.Kind {
		case opSet:
			s.rows[o.Key] = o.Value
		case opAppend:
			s.rows[o.Key] += o.Value
		case opDelete:
			delete(s.rows, o.Key)
		}
	}
}

func (s *state) truncateLog(lsn uint64) {
	kept := s.log[:lsn:lsn]
	s.reset()
	for _, r := range kept {
		s.apply(r)
	}
}

func (s *state) lsn() uint64 { return uint64(len(s.log)) }

func (s *state) role() authority.Role {
	switch {
	case s.fence.Term > s.history.Term():
		return authority.RoleFenced
	case s.promoted == s.history.Term():
		return authority.RolePrimary
	}
	return authority.RoleReplica
}

// notifyChange wakes the goroutines that wait for a change. The caller holds mu.
func (s *state) notifyChange() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change. The caller holds mu.
func (s *state) nextChange() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *state) nextIncarnation() error {
	if err := s.storage.append(entry{Incarnation: s.incarnation + 1}); err != nil {
		return err
	}
	s.incarnation++
	return nil
}

func (s *state) setPromoted(term uint64) error {
	if err := s.storage.append(entry{Promoted: &term}); err != nil {
		return err
	}
	s.promoted = term
	return nil
}

// appendRecord writes a record to the journal and applies it.
func (s *state) appendRecord(r *record) error {
	if err := s.storage.append(entry{Record: r}); err != nil {
		return err
	}
	s.apply(r)
	s.notifyChange()
	return nil
}

// snapshot returns the state that a probe reports.
func (s *state) snapshot() authority.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewLocked()
}

func (s *state) viewLocked() authority.ServerState {
	v := authority.ServerState{
		Server:      s.id,
		Incarnation: s.incarnation,
		Role:        s.role(),
		Term:        s.history.Term(),
		FenceTerm:   s.fence.Term,
		FenceOwner:  s.fence.Owner,
		LSN:         s.lsn(),
		History:     slices.Clone(s.history),
	}
	if v.Role != authority.RolePrimary {
		v.PrimaryContactAge = time.Since(s.lastPrimaryContact)
	}
	return v
}

func (s *state) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.rows[key]
	return v, ok
}

// checkWritable returns errReadOnly unless the server is an unfenced primary.
func (s *state) checkWritable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkWritableLocked()
}

func (s *state) checkWritableLocked() error {
	if s.stopped {
		return errStopped
	}
	if s.role() != authority.RolePrimary {
		return errReadOnly
	}
	return nil
}

// commit appends ops to the log as one record, or fails without any effect.
func (s *state) commit(ops []op) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritableLocked(); err != nil {
		return err
	}
	return s.appendRecord(&record{
		LSN:  s.lsn() + 1,
		Term: s.history.Term(),
		Time: time.Now().UnixNano(),
		Ops:  ops,
	})
}

// placeFence sets a fence whose term is above the current fence and the log's term. Setting the current
// fence again succeeds without effect.
func (s *state) placeFence(term uint64, owner string) (authority.ServerState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := fence{term, owner}
	if s.stopped {
		return authority.ServerState{}, errStopped
	}
	if s.fence == wanted {
		return s.viewLocked(), nil
	}
	if term <= s.fence.Term || term <= s.history.Term() {
		return authority.ServerState{}, s.refusalError("fence", wanted)
	}
	if err := s.storage.append(entry{Fence: &wanted}); err != nil {
		return authority.ServerState{}, err
	}
	if s.role() == authority.RolePrimary {
		s.lastPrimaryContact = time.Now() // until now the server was the primary itself
	}
	s.fence = wanted
	s.notifyChange()
	return s.viewLocked(), nil
}

// promote makes the server the primary of term if it is fenced at exactly (term, owner).
func (s *state) promote(term uint64, owner string) (authority.ServerState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := fence{term, owner}
	if s.stopped {
		return authority.ServerState{}, errStopped
	}
	if s.fence == wanted && s.promoted == term && s.history.Term() == term {
		return s.viewLocked(), nil
	}
	if s.fence != wanted || s.history.Term() >= term {
		return authority.ServerState{}, s.refusalError("promotion", wanted)
	}
	// The promotion is written to the journal before the record that begins the term: if the record
	// is missing after a crash, the server is still fenced and the promotion can be repeated.
	if err := s.setPromoted(term); err != nil {
		return authority.ServerState{}, err
	}
	r := &record{LSN: s.lsn() + 1, Term: term, Time: time.Now().UnixNano(), Begin: true}
	if err := s.appendRecord(r); err != nil {
		return authority.ServerState{}, err
	}
	return s.viewLocked(), nil
}

func (s *state) refusalError(what string, f fence) error {
	return newSQLError(codeWrongState, fmt.Sprintf(
		"%s at term %d by %q refused: log term %d, fence %d by %q, role %s",
		what, f.Term, f.Owner, s.history.Term(), s.fence.Term, s.fence.Owner, s.role()))
}

// stop makes all later changes fail.
func (s *state) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.notifyChange()
}
