package node

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/failover"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

// Load: an instance that has started while the store is slow, reaches no primary, and has not read the list of instances yet.
// Guards against a vote of all instances without any: others may reach the primary, and are not told of its replacement.
func TestUnreadListIsNoMajority(t *testing.T) {
	p := newClaimant(t, startPlatform(t), "edge-1")
	list := newInstanceList(p.node.store, boottime.Now) // not loaded
	p.node.peers = newPeerSet(t, "127.0.0.1:1", list)
	p.surveyor = &peer.Surveyor{Peers: p.node.peers, Client: peer.NewClient(peer.ClientConfig{})}
	primary := discovery.Server{ID: "i-1", Database: "db"}
	now := time.Minute
	step := func() (action failover.Action, reason failover.Reason) {
		p.withMachine("db", func(m *failover.Machine) { action, reason = m.Step(now, failover.Primary{ID: primary.ID}) })
		return action, reason
	}
	step()
	p.withMachine("db", func(m *failover.Machine) { m.Suspect(now, primary.ID) })
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 100 * time.Millisecond {
		now += 100 * time.Millisecond
		switch action, reason := step(); action {
		case failover.Probe:
			p.withMachine("db", func(m *failover.Machine) { m.RecordProbe(primary.ID, false) })
		case failover.AskPeers:
			p.survey(t.Context(), primary)
		case failover.Replace:
			t.Fatalf("the primary is replaced %s after the first failure (%s), although no other instance was asked", elapsed+100*time.Millisecond, reason)
		}
	}
}
