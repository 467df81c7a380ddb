package manifest

import (
	"cmp"
	"slices"
)

// Clone returns a copy that shares no slice with m.
func (m Manifest) Clone() Manifest {
	m.Databases = slices.Clone(m.Databases)
	for i := range m.Databases {
		m.Databases[i].Servers = slices.Clone(m.Databases[i].Servers)
	}
	m.Accounts = slices.Clone(m.Accounts)
	for i := range m.Accounts {
		m.Accounts[i].Keys = slices.Clone(m.Accounts[i].Keys)
	}
	m.Routes = slices.Clone(m.Routes)
	for i := range m.Routes {
		m.Routes[i].Accounts = slices.Clone(m.Routes[i].Accounts)
	}
	return m
}

// WithDefaults returns a copy of m in which omitted route settings have their default values.
func (m Manifest) WithDefaults() Manifest {
	m = m.Clone()
	for i := range m.Routes {
		m.Routes[i] = m.Routes[i].withDefaults()
	}
	return m
}

func (r Route) withDefaults() Route {
	r.Acknowledge = cmp.Or(r.Acknowledge, AcknowledgeMajority)
	r.SessionScope = cmp.Or(r.SessionScope, ScopeAny)
	r.ReadWait = cmp.Or(r.ReadWait, Duration(DefaultReadWait))
	r.StatementTimeout = cmp.Or(r.StatementTimeout, Duration(DefaultStatementTimeout))
	r.ConfirmTimeout = cmp.Or(r.ConfirmTimeout, Duration(DefaultConfirmTimeout))
	r.QueueTimeout = cmp.Or(r.QueueTimeout, Duration(DefaultQueueTimeout))
	return r
}
