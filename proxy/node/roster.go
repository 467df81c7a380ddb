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
	m.ensureOwnEntry(ctx, entries)
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
func (m *rosterManager) ensureOwnEntry(ctx context.Context, entries map[string]listEntry) {
	own, listed := entries[m.node.settings.Instance]
	if listed && !own.Lost || m.node.stopping.Load() {
		m.missedChecks = 0
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
