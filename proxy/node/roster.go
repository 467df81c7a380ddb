package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/roster"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// rosterPeriod is how often the list is checked for entries to remove and for this instance's own entry.
	rosterPeriod = 5 * time.Second
	// maxMissedChecks is the number of consecutive checks without this instance's entry after which it is written again:
	// an entry that was just written appears late.
	maxMissedChecks = 2
)

// rosterManager removes the entries of lost instances from the list, and restores the entry of this instance.
type rosterManager struct {
	node         *Node
	roster       roster.Roster
	missedChecks int // consecutive checks without the own entry
	// earlierSince is since when the own entry is known to have earlier addresses; 0 if it has none.
	earlierSince time.Duration
}

// run checks the list periodically until ctx ends.
func (m *rosterManager) run(ctx context.Context) {
	wait.Every(ctx, rosterPeriod, func() { m.step(ctx) })
}

func (m *rosterManager) step(ctx context.Context) {
	entries, loaded := m.node.instances.snapshot()
	if !loaded {
		return
	}
	m.ensureOwnEntry(ctx)
	others := m.others(entries)
	switch e, ok := m.roster.Step(boottime.Now(), others, m.isRemover()); {
	case !ok:
	case e.Marked:
		m.remove(ctx, e)
	default:
		m.mark(ctx, e.Name, entries[e.Name])
	}
}

// ensureOwnEntry writes the entry of this instance again if it was removed or is to be.
func (m *rosterManager) ensureOwnEntry(ctx context.Context) {
	own, listed := m.node.instances.own(m.node.settings.Instance, m.node.settings.Listen.Peers)
	if listed && !own.Lost || m.node.stopping.Load() {
		m.missedChecks = 0
		m.forgetEarlier(ctx, own)
		return
	}
	m.missedChecks++
	if !own.Lost && m.missedChecks < maxMissedChecks {
		return
	}
	m.missedChecks = 0
	event(m.node.log, EventEntryMissing).Warn("entry of this instance is missing from the list; writing it again")
	m.node.register(ctx)
}

// forgetEarlier removes earlier addresses from the entry of this instance once their processes have noticed that it was overwritten.
func (m *rosterManager) forgetEarlier(ctx context.Context, own listEntry) {
	now := boottime.Now()
	if own.Earlier == "" {
		m.earlierSince = 0
		return
	}
	if m.earlierSince == 0 {
		m.earlierSince = now
	}
	if now-m.earlierSince < roster.MarkTerm {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.node.instances.forgetEarlier(ctx, m.node.settings.Instance, own); err != nil {
		event(m.node.log, EventRegisterFailed).WithError(err).Warn("failed to remove earlier addresses from the entry of this instance; retrying")
	}
}

// others returns the entries of the other instances, and marks those that this instance can't reach.
func (m *rosterManager) others(entries map[string]listEntry) []roster.Entry {
	lost := map[string]bool{} // by peer address
	for _, p := range m.node.peers.Peers() {
		lost[p.Instance.PeerAddress] = p.Tried && !p.Reachable
	}
	var out []roster.Entry
	for name, e := range entries {
		if name != m.node.settings.Instance {
			out = append(out, roster.Entry{Name: name, Revision: e.revision, Unreachable: lost[e.PeerAddress], Marked: e.Lost})
		}
	}
	return out
}

// isRemover reports whether this instance is the one that removes entries. Two at the same time do no harm.
func (m *rosterManager) isRemover() bool {
	return peer.Rendezvous("roster", m.node.peers.Live()) == m.node.settings.Listen.Peers
}

// mark announces the removal of an entry.
func (m *rosterManager) mark(ctx context.Context, name string, e listEntry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := event(m.node.log, EventEntryRemoved).WithFields(logrus.Fields{"lost": name, "revision": e.revision})
	if err := m.node.instances.mark(ctx, name, e); err != nil {
		log.WithError(err).Warn("failed to mark the entry of a lost instance; retrying")
		return
	}
	log.Info("marked the entry of a lost instance, to be removed")
}

func (m *rosterManager) remove(ctx context.Context, e roster.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := event(m.node.log, EventEntryRemoved).WithFields(logrus.Fields{"lost": e.Name, "revision": e.Revision})
	if err := m.node.instances.remove(ctx, e.Name, e.Revision); err != nil {
		log.WithError(err).Warn("failed to remove the entry of a lost instance; retrying")
		return
	}
	log.Info("removed the entry of a lost instance")
}
