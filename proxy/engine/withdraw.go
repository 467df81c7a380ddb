package engine

import "sync"

// withdrawals ends sessions whose key is withdrawn. Sessions with the same channel share one goroutine,
// because a goroutine for each of many idle sessions would cost too much memory.
type withdrawals struct {
	mu     sync.Mutex
	groups map[<-chan struct{}]*withdrawGroup
}

type withdrawGroup struct {
	sessions map[*session]struct{}
	empty    chan struct{} // closed when the last session was removed
}

// add watches the session's key until the session is removed. If the key was withdrawn after its check at
// start-up, add ends the session itself: the goroutine of the group may have ended the earlier sessions
// already and would miss this one.
func (w *withdrawals) add(sess *session) {
	withdrawn := sess.login.Withdrawn
	if withdrawn == nil {
		return
	}
	w.join(withdrawn, sess)
	select {
	case <-withdrawn:
		sess.withdraw()
	default:
	}
}

func (w *withdrawals) join(withdrawn <-chan struct{}, sess *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.groups == nil {
		w.groups = make(map[<-chan struct{}]*withdrawGroup)
	}
	g := w.groups[withdrawn]
	if g == nil {
		g = &withdrawGroup{sessions: make(map[*session]struct{}), empty: make(chan struct{})}
		w.groups[withdrawn] = g
		go w.watch(withdrawn, g)
	}
	g.sessions[sess] = struct{}{}
}

func (w *withdrawals) remove(sess *session) {
	withdrawn := sess.login.Withdrawn
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.groups[withdrawn]
	if g == nil {
		return
	}
	delete(g.sessions, sess)
	if len(g.sessions) == 0 {
		delete(w.groups, withdrawn)
		close(g.empty)
	}
}

func (w *withdrawals) watch(withdrawn <-chan struct{}, g *withdrawGroup) {
	select {
	case <-g.empty:
		return
	case <-withdrawn:
	}
	for _, sess := range w.members(g) {
		sess.withdraw()
	}
}

func (w *withdrawals) members(g *withdrawGroup) []*session {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]*session, 0, len(g.sessions))
	for sess := range g.sessions {
		all = append(all, sess)
	}
	return all
}
