package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/evacuation"
	"github.com/cyclamenstile/cyclamenstile/decision/restored"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// evacuationReportsKind is the kind under which an instance tells its peers which evacuations it has applied. It is not in
	// the store.
	evacuationReportsKind = "evacuation-reports"
	// minAcknowledgeInterval and maxAcknowledgeInterval bound the time between two attempts of the coordinator. It doubles
	// while attempts with calls fail; the coordinator's own view of the primaries costs no call.
	minAcknowledgeInterval = 100 * time.Millisecond
	maxAcknowledgeInterval = 2 * time.Second
	// reportTimeout bounds a call to a peer for its report.
	reportTimeout = 500 * time.Millisecond
)

// evacuations follows the evacuations of failure domains and applies them to the servers.
type evacuations struct {
	log     logrus.FieldLogger
	now     func() time.Duration
	regions map[string]string // by known failure domain
	// apply receives each change.
	apply func(evacuation.Set)
	gauge tally.Gauge // number of evacuated domains

	mu      sync.Mutex
	entries *restored.Entries[uint64] // versions by failure domain
	set     evacuation.Set
	warned  map[string]uint64 // version of the objects that were warned of, by name
	known   bool
}

func newEvacuations(log logrus.FieldLogger, now func() time.Duration, s Settings, scope tally.Scope, apply func(evacuation.Set)) *evacuations {
	return &evacuations{
		log: log, now: now, regions: s.Regions, apply: apply, gauge: scope.Gauge("evacuated_failure_domains"),
		entries: restored.NewEntries[uint64](), set: evacuation.NewSet(evacuation.Bound(s.Bounds.Evacuation())), warned: map[string]uint64{},
	}
}

func (e *evacuations) replaceAll(list objectList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var listing restored.Listing[uint64]
	for _, o := range list.objects {
		if e.accept(o) {
			listing.Add(o.Name, o.Revision, restored.State{})
		}
	}
	e.entries.Replace(e.now(), listing, list.restored)
	e.known = true
	e.update()
}

func (e *evacuations) applyChanges(changes []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range changes {
		switch {
		case o.Deleted:
			e.entries.Remove(e.now(), o.Name)
		case e.accept(o):
			e.entries.Put(o.Name, o.Revision, restored.State{})
		}
	}
	e.update()
}

// expire ends the use of evacuations that a restored store has lost.
func (e *evacuations) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.entries.Expire(e.now()) {
		e.update()
	}
}

// accept reports whether an object evacuates a failure domain. Its name alone counts. mu must be held.
func (e *evacuations) accept(o platform.Object) bool {
	_, isKnown := e.regions[o.Name]
	err := platform.CheckEvacuation(o)
	if e.warned[o.Name] == o.Revision {
		return isKnown
	}
	switch {
	case !isKnown:
		event(e.log, EventEvacuationUnknown).WithField("failure_domain", o.Name).
			Warn("ignored the evacuation of a failure domain that is not in the settings")
	case err != nil:
		event(e.log, EventEvacuationUnreadable).WithField("failure_domain", o.Name).WithError(err).
			Warn("the spec of an evacuation can't be read; the failure domain it is named after is evacuated")
	default:
		return isKnown
	}
	e.warned[o.Name] = o.Revision
	return isKnown
}

// update applies the evacuations in use. mu must be held.
func (e *evacuations) update() {
	next, began, ended := e.set.Next(e.now(), e.entries.Current())
	e.set = next
	log := event(e.log, EventEvacuation)
	for _, domain := range began {
		log.WithFields(logrus.Fields{"failure_domain": domain, "revision": next.Version(domain)}).
			Warn("failure domain is evacuated; its servers get nothing new")
	}
	for _, domain := range ended {
		log.WithField("failure_domain", domain).Info("evacuation has ended; the servers are used again")
	}
	e.gauge.Update(float64(len(next.Domains())))
	e.apply(next)
}

// current returns the evacuated failure domains, and false before they were read.
func (e *evacuations) current() (evacuation.Set, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set, e.known
}

// applyEvacuations applies a change of the evacuations to this instance.
func (n *Node) applyEvacuations(set evacuation.Set) {
	n.servers.evacuate(set)
	n.gateway.SetEvacuations(set)
	n.failover.evacuationsChanged()
}

// evacuationsKnown reports whether the evacuations were read, or the deployment has none.
func (n *Node) evacuationsKnown() bool {
	if n.evacuations == nil {
		return true
	}
	_, known := n.evacuations.current()
	return known
}

// isEvacuated reports whether the failure domain of a server is evacuated now.
func (n *Node) isEvacuated(s discovery.Server) bool {
	if n.evacuations == nil {
		return false
	}
	set, _ := n.evacuations.current()
	return set.Contains(s.FailureDomain)
}

func (n *Node) evacuationFollower() *follower {
	f := n.follower(platform.EvacuationsKind, evacuationsWatchWait, 0)
	f.acceptsUnknown = true
	f.onList, f.onChange = n.evacuations.replaceAll, n.evacuations.applyChanges
	f.onConfirm = func(time.Duration, uint64) { n.evacuations.expire() }
	return f
}

// evacuationReport returns what this instance tells its peers: one object for each evacuated domain, with the version that it
// has applied and the databases whose primaries are still to move.
func (n *Node) evacuationReport() *relaypb.FollowReply {
	set, known := n.evacuations.current()
	reply := &relaypb.FollowReply{Whole: true, Unknown: !known}
	for _, domain := range set.Domains() {
		pending, err := json.Marshal(n.pendingHandOvers(domain))
		if err != nil {
			return &relaypb.FollowReply{Unknown: true}
		}
		reply.Objects = append(reply.Objects, &relaypb.Object{Name: domain, Revision: set.Version(domain), Spec: pending})
	}
	return reply
}

// pendingHandOvers returns the databases whose primary is still to move out of a failure domain.
func (n *Node) pendingHandOvers(domain string) []string {
	names := n.gateway.Databases()
	return slices.DeleteFunc(names, func(name string) bool { return !n.gateway.AwaitsSuccessor(name, domain) })
}

// databasesWithoutPrimary returns the databases that evacuations leave without a primary.
func (n *Node) databasesWithoutPrimary() []string {
	names := slices.DeleteFunc(n.gateway.Databases(), func(name string) bool { return !n.gateway.WithoutSuccessor(name) })
	slices.Sort(names)
	return names
}

// evacuationCoordinator acknowledges evacuations that hold at all instances.
type evacuationCoordinator struct {
	node *Node
	// acknowledged holds, by domain, the version of the evacuation that is known to have a status. The operator may write the
	// object again, without the status.
	acknowledged map[string]uint64
	// unacknowledged holds, by domain, the version that had no status when this instance looked.
	unacknowledged map[string]uint64
	interval       time.Duration
}

// run acknowledges evacuations until ctx ends.
func (c *evacuationCoordinator) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.step(ctx) {
			c.interval = min(2*c.interval, maxAcknowledgeInterval)
		} else {
			c.interval = minAcknowledgeInterval
		}
		wait.For(ctx, c.interval)
	}
}

// step acknowledges what this instance coordinates. It reports whether an attempt with calls to the store or to peers failed.
func (c *evacuationCoordinator) step(ctx context.Context) (failed bool) {
	set, _ := c.node.evacuations.current()
	for _, domain := range slices.Concat(slices.Collect(maps.Keys(c.acknowledged)), slices.Collect(maps.Keys(c.unacknowledged))) {
		if !set.Contains(domain) {
			delete(c.acknowledged, domain)
			delete(c.unacknowledged, domain)
		}
	}
	for _, domain := range set.Domains() {
		version := set.Version(domain)
		switch {
		case c.acknowledged[domain] == version || !c.coordinates(domain) || len(c.node.pendingHandOvers(domain)) > 0:
		case c.acknowledge(ctx, domain, version):
			c.acknowledged[domain] = version
		default:
			failed = true
		}
	}
	return failed
}

// coordinates reports whether this instance acknowledges the evacuation of a domain. Two at the same time do no harm.
func (c *evacuationCoordinator) coordinates(domain string) bool {
	return peer.Rendezvous("evacuation/"+domain, c.node.peers.Usable()) == c.node.settings.Listen.Peers
}

// acknowledge writes the status of an evacuation if it holds. It reports whether the evacuation has a status.
func (c *evacuationCoordinator) acknowledge(ctx context.Context, domain string, version uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.unacknowledged[domain] != version {
		if acknowledged, err := c.node.store.EvacuationAcknowledged(callCtx, domain); err != nil || acknowledged {
			return err == nil
		}
		c.unacknowledged[domain] = version
	}
	reports := append(c.askPeers(callCtx, domain), evacuation.Report{Version: version, Pending: c.node.pendingHandOvers(domain)})
	if !evacuation.InForce(version, reports) {
		return false
	}
	a := platform.Acknowledgement{Instances: len(reports), WithoutPrimary: c.node.databasesWithoutPrimary()}
	log := event(c.node.log, EventEvacuationAcknowledged).WithFields(logrus.Fields{
		"failure_domain": domain, "instances": a.Instances, "without_primary": a.WithoutPrimary,
	})
	written, err := c.node.store.AcknowledgeEvacuation(callCtx, domain, a)
	switch {
	case errors.Is(err, objectstore.ErrNotFound), errors.Is(err, objectstore.ErrConflict):
		return false // removed or changed; the follower learns of it
	case err != nil:
		log.WithError(err).Warn("failed to acknowledge an evacuation; retrying")
		return false
	case written:
		log.Info("evacuation is in force at all instances that answer")
	}
	return true
}

// askPeers returns the reports of the usable peers. One that does not answer has applied nothing, until it counts as lost.
func (c *evacuationCoordinator) askPeers(ctx context.Context, domain string) []evacuation.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	self := c.node.settings.Listen.Peers
	peers := slices.DeleteFunc(c.node.peers.Usable(), func(address string) bool { return address == self })
	reports := make([]evacuation.Report, len(peers))
	var calls sync.WaitGroup
	for i, address := range peers {
		calls.Go(func() {
			client := relaypb.NewDRPCRelayClient(c.node.lendClient.Conn(ctx, address))
			reply, err := client.Follow(ctx, &relaypb.FollowRequest{Kind: evacuationReportsKind})
			if err == nil {
				reports[i] = reportOf(reply, domain)
			}
		})
	}
	calls.Wait()
	return reports
}

// reportOf returns what a reply tells about a domain. An instance without the kind has applied nothing.
func reportOf(reply *relaypb.FollowReply, domain string) evacuation.Report {
	for _, o := range reply.GetObjects() {
		if o.GetName() != domain {
			continue
		}
		r := evacuation.Report{Version: o.GetRevision()}
		if err := json.Unmarshal(o.GetSpec(), &r.Pending); err != nil {
			return evacuation.Report{}
		}
		return r
	}
	return evacuation.Report{}
}

// startEvacuations starts following the evacuations if the settings ask for it.
func (n *Node) startEvacuations(ctx context.Context, tasks *sync.WaitGroup, joined <-chan struct{}) {
	if n.evacuations == nil {
		return
	}
	tasks.Go(func() {
		wait.UntilClosed(ctx, joined, joinTimeout)
		n.evacuationFollower().run(ctx)
	})
	tasks.Go(func() {
		(&evacuationCoordinator{node: n, acknowledged: map[string]uint64{}, unacknowledged: map[string]uint64{}}).run(ctx)
	})
}

// assembleEvacuations prepares following the evacuations if the settings ask for it.
func (n *Node) assembleEvacuations() {
	if n.settings.Bounds.Evacuation() <= 0 {
		return
	}
	n.evacuations = newEvacuations(n.log, boottime.Now, n.settings, n.metrics.Scope, n.applyEvacuations)
	n.servers.awaitsEvacuations = true
	n.relays.serveEvacuations(n.evacuationReport)
}
