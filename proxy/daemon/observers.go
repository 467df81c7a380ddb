package daemon

import "github.com/cyclamenstile/cyclamenstile/proxy/engine"

// observers forwards each event to several observers in order.
type observers []engine.Observer

// StartupRefused implements engine.Observer.
func (all observers) StartupRefused(remote string, err error) {
	for _, o := range all {
		o.StartupRefused(remote, err)
	}
}

// SessionOpened implements engine.Observer.
func (all observers) SessionOpened(s engine.Session) {
	for _, o := range all {
		o.SessionOpened(s)
	}
}

// SessionClosed implements engine.Observer.
func (all observers) SessionClosed(s engine.Session, err error) {
	for _, o := range all {
		o.SessionClosed(s, err)
	}
}

// StatementDone implements engine.Observer.
func (all observers) StatementDone(s engine.Statement) {
	for _, o := range all {
		o.StatementDone(s)
	}
}
