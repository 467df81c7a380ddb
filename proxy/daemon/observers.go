package daemon

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

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

// panicLog logs sessions that were ended by a fault in the program.
type panicLog struct {
	log logrus.FieldLogger
}

// StartupRefused implements engine.Observer.
func (l panicLog) StartupRefused(_ string, err error) {
	l.write(err)
}

// SessionOpened implements engine.Observer.
func (panicLog) SessionOpened(engine.Session) {}

// SessionClosed implements engine.Observer.
func (l panicLog) SessionClosed(_ engine.Session, err error) {
	l.write(err)
}

// StatementDone implements engine.Observer.
func (panicLog) StatementDone(engine.Statement) {}

func (l panicLog) write(err error) {
	var p *contain.PanicError
	if errors.As(err, &p) {
		event(l.log, EventPanic).WithError(err).WithField("stack", p.Stack).Error("a fault in the program was contained")
	}
}
