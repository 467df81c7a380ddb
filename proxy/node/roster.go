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
	// rosterPeriod is the period of looking for entries that should go, or that are missing.
	rosterPeriod = 5 * time.Second
	// maxMissedChecks is how many looks in a row have to miss this instance's own entry: one just written is seen late.
	maxMissedChecks = 2
)

// rosterManager removes entries of lost instances from the list, and keeps that of this instance.
type rosterManager struct {
	node         *Node
	roster       roster.Roster
	missedChecks int // looks in a row without the own entry
}

// run looks after the list until ctx ends.
func (k *rosterManager) run(ctx context.Context) {
	wait.Every(ctx, rosterPeriod, func() { k.step(ctx) })
}

func (k *rosterManager) step(ctx context.Context) {
	entries, known := k.node.instances.snapshot()
	if !known {
		return
	}
	k.ensureOwnEntry(ctx, entries)
	others := k.others(entries)
	if e, ok := k.roster.Step(boottime.Now(), others, k.isRemover()); ok {
		k.remove(ctx, e)
	}
}

// ensureOwnEntry writes the own entry again when it was removed.
func (k *rosterManager) ensureOwnEntry(ctx context.Context, entries map[string]listEntry) {
	if _, listed := entries[k.node.settings.Instance]; listed || k.node.stopping.Load() {
		k.missedChecks = 0
		return
	}
	k.missedChecks++
	if k.missedChecks < maxMissedChecks {
		return
	}
	k.missedChecks = 0
	event(k.node.log, EventEntryMissing).Warn("entry of this instance is missing in the list; it is written again")
	k.node.register(ctx)
}

// others returns the entries of the other instances, with those that this one has lost.
func (k *rosterManager) others(entries map[string]listEntry) []roster.Entry {
	lost := map[string]bool{} // by peer address
	for _, p := range k.node.peers.Peers() {
		lost[p.Instance.PeerAddress] = p.Tried && !p.Reachable
	}
	var out []roster.Entry
	for name, e := range entries {
		if name != k.node.settings.Instance {
			out = append(out, roster.Entry{Name: name, Revision: e.revision, Unreachable: lost[e.PeerAddress]})
		}
	}
	return out
}

// isRemover reports whether this instance is the one that removes entries. Two are harmless.
func (k *rosterManager) isRemover() bool {
	return peer.Rendezvous("roster", k.node.peers.Live()) == k.node.settings.Listen.Peers
}

func (k *rosterManager) remove(ctx context.Context, e roster.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := event(k.node.log, EventEntryRemoved).WithFields(logrus.Fields{"lost": e.Name, "revision": e.Revision})
	if err := k.node.instances.remove(ctx, e.Name, e.Revision); err != nil {
		log.WithError(err).Warn("entry of a lost instance was not removed; it is tried again")
		return
	}
	log.Info("entry of an instance that was lost for good was removed")
}
