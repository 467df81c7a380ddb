package engine

import (
	"context"
	"time"
)

// Shutdown stops the server gracefully. It closes the listeners, ends idle sessions with 57P01, and lets
// statements in flight finish. Open transactions may continue for the drain timeout and are then ended
// between two statements. If ctx ends first, Shutdown closes the remaining connections and returns the error
// of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginDrain()
	s.interruptAll(stopDrain)
	timer := time.NewTimer(s.cfg.DrainTimeout)
	defer timer.Stop()
	for {
		select {
		case <-s.drained:
			s.stop()
			return nil
		case <-timer.C:
			s.interruptAll(stopDrainNow)
		case <-ctx.Done():
			s.forceClose()
			return ctx.Err()
		}
	}
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for conn := range s.starting {
		_ = conn.SetDeadline(pastDeadline)
	}
	s.checkDrained()
}

func (s *Server) interruptAll(r stopReason) {
	for _, sess := range s.allSessions() {
		sess.interrupt(r)
	}
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		all = append(all, sess)
	}
	return all
}

func (s *Server) forceClose() {
	s.stop()
	for _, sess := range s.allSessions() {
		sess.kill(errShutdown())
		_ = sess.conn.Close()
	}
}
