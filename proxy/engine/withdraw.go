package engine

import "sync"

// withdrawals ends sessions whose key is withdrawn. Sessions that share a channel share one
// goroutine, because a goroutine for each of many idle sessions would cost too much memory.
type withdrawals struct {
	mu     sync.Mutex
	groups map[<-chan struct{}]*withdrawGroup
}

type withdrawGroup struct {
	sessions map[*session]struct{}
	empty    chan struct{} // closed when the last session has left
}

// add watches the session's key until the session is removed. A key that was withdrawn since its check at the start-up
// ends the session here: the goroutine of its group may have ended the sessions that it knew already.
func (w *withdrawals) add(s *session) {
	c := s.login.Withdrawn
	if c == nil {
		return
	}
	w.join(c, s)
	select {
	case <-c:
		s.withdraw()
	default:
	}
}

func (w *withdrawals) join(c <-chan struct{}, s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.groups == nil {
		w.groups = make(map[<-chan struct{}]*withdrawGroup)
	}
	g := w.groups[c]
	if g == nil {
		g = &withdrawGroup{sessions: make(map[*session]struct{}), empty: make(chan struct{})}
		w.groups[c] = g
		go w.watch(c, g)
	}
	g.sessions[s] = struct{}{}
}

func (w *withdrawals) remove(s *session) {
	c := s.login.Withdrawn
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.groups[c]
	if g == nil {
		return
	}
	delete(g.sessions, s)
	if len(g.sessions) == 0 {
		delete(w.groups, c)
		close(g.empty)
	}
}

func (w *withdrawals) watch(c <-chan struct{}, g *withdrawGroup) {
	select {
	case <-g.empty:
		return
	case <-c:
	}
	for _, s := range w.members(g) {
		s.withdraw()
	}
}

func (w *withdrawals) members(g *withdrawGroup) []*session {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]*session, 0, len(g.sessions))
	for s := range g.sessions {
		all = append(all, s)
	}
	return all
}
