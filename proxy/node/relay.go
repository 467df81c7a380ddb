package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/relaytree"
	"github.com/cyclamenstile/cyclamenstile/decision/suspicion"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/node/relaypb"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

const (
	// changesKept is how many changes of a kind a copy keeps for followers that are behind. Others get all objects.
	changesKept = 256
	// maxRelayAge is the age of a relay's knowledge from which a follower asks the store itself, and hopAge what is added
	// for a relay that follows another one: its wait and the time of the call.
	maxRelayAge = 2500 * time.Millisecond
	hopAge      = relayWait + 100*time.Millisecond
	// relayAllowance is the time beyond its wait after which a call to a relay counts as lost.
	relayAllowance = 400 * time.Millisecond
	// relaySuspectTerm is how long a relay that failed is passed over.
	relaySuspectTerm = 3 * time.Second
)

// errRelayStale tells that a relay's knowledge is too old.
var errRelayStale = errors.New("the relay has not heard from the store lately")

// copyOf is what this instance knows of the objects of one kind. It serves followers at other instances.
type copyOf struct {
	now func() time.Duration

	mu       sync.Mutex
	objects  map[string]platform.Object
	changes  []platform.Object // the last ones, oldest first
	since    uint64            // revision before the first of them
	revision uint64
	asOf     time.Duration // nothing newer existed then
	known    bool
	changed  chan struct{} // closed and replaced with each change
}

func newCopy(now func() time.Duration) *copyOf {
	return &copyOf{now: now, objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// replace takes all objects as of a revision.
func (c *copyOf) replace(all []platform.Object, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]platform.Object, len(all))
	for _, o := range all {
		c.objects[o.Name] = o
	}
	c.changes, c.since = nil, revision
	c.revision, c.known = revision, true
	c.wake()
}

// apply takes changes up to a revision.
func (c *copyOf) apply(some []platform.Object, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range some {
		c.objects[o.Name] = o
		if o.Deleted {
			delete(c.objects, o.Name)
		}
	}
	c.changes = append(c.changes, some...)
	if drop := len(c.changes) - changesKept; drop > 0 {
		c.since = c.changes[drop-1].Revision
		c.changes = append([]platform.Object(nil), c.changes[drop:]...)
	}
	c.revision = max(c.revision, revision)
	if len(some) > 0 {
		c.wake()
	}
}

// prove notes that nothing newer existed as of a time.
func (c *copyOf) prove(asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asOf = max(c.asOf, asOf)
}

// wake lets the followers look. The caller holds mu.
func (c *copyOf) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// after returns what a follower at a revision lacks. A follower that is too far behind gets all objects.
func (c *copyOf) after(revision uint64) (reply *relaypb.FollowReply, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply = &relaypb.FollowReply{Revision: c.revision, Unknown: !c.known}
	reply.AgeMs = uint64(max(c.now()-c.asOf, 0).Milliseconds()) + 1
	switch {
	case !c.known || revision >= c.revision && revision > 0:
	case revision < c.since || revision == 0:
		reply.Whole = true
		for _, o := range c.objects {
			reply.Objects = append(reply.Objects, toRelay(o))
		}
	default:
		for _, o := range c.changes {
			if o.Revision > revision {
				reply.Objects = append(reply.Objects, toRelay(o))
			}
		}
	}
	return reply, c.changed
}

func toRelay(o platform.Object) *relaypb.Object {
	return &relaypb.Object{Name: o.Name, Revision: o.Revision, Deleting: o.Deleting, Deleted: o.Deleted, Spec: o.Spec}
}

func fromRelay(in []*relaypb.Object) []platform.Object {
	out := make([]platform.Object, 0, len(in))
	for _, o := range in {
		out = append(out, platform.Object{
			Name: o.GetName(), Revision: o.GetRevision(), Deleting: o.GetDeleting(), Deleted: o.GetDeleted(), Spec: o.GetSpec(),
		})
	}
	return out
}

// relays is this instance as a relay, and as a follower of others. It implements relaypb.DRPCRelayServer.
type relays struct {
	now   func() time.Duration
	calls *peer.Client
	peers *peer.Set
	self  string // peer address
	place Place

	copies map[string]*copyOf // by kind; never changes

	mu       sync.Mutex
	suspects suspicion.List[string] // relays that are passed over
}

func newRelays(n *Node, now func() time.Duration, kinds ...string) *relays {
	r := &relays{
		now: now, calls: n.lendCalls, peers: n.peers, self: n.settings.Listen.Peers, place: n.settings.Place,
		copies: map[string]*copyOf{},
	}
	for _, kind := range kinds {
		r.copies[kind] = newCopy(now)
	}
	return r
}

// choose returns the instance that this one follows, or the store itself.
func (r *relays) choose() relaytree.Parent {
	region := []string{r.self}
	for _, p := range r.peers.Peers() {
		if p.Usable() && p.Instance.Region == r.place.Region && !r.suspected(p.Instance.PeerAddress) {
			region = append(region, p.Instance.PeerAddress)
		}
	}
	return relaytree.ChooseParent(r.self, region, peer.First)
}

// ageLimit returns the age from which a relay's knowledge is not used.
func ageLimit(p relaytree.Parent) time.Duration {
	return maxRelayAge + time.Duration(p.Hops-1)*hopAge
}

func (r *relays) suspected(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.Contains(r.now(), address)
}

func (r *relays) suspect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.Add(r.now(), address, relaySuspectTerm)
}

// follow asks a relay for the changes after a revision. A relay that fails or knows too little is passed over for a
// while.
func (r *relays) follow(ctx context.Context, relay relaytree.Parent, kind string, revision uint64, wait time.Duration) (*relaypb.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayAllowance)
	defer cancel()
	client := relaypb.NewDRPCRelayClient(r.calls.Conn(ctx, relay.Address))
	reply, err := client.Follow(ctx, &relaypb.FollowRequest{
		Kind: kind, Revision: revision, WaitMs: uint32(wait.Milliseconds()),
	})
	if err == nil && (reply.GetUnknown() || reply.GetAgeMs() > uint64(ageLimit(relay).Milliseconds())) {
		err = errRelayStale
	}
	if err != nil {
		r.suspect(relay.Address)
		return nil, err
	}
	return reply, nil
}

// Follow implements relaypb.DRPCRelayServer.
func (r *relays) Follow(ctx context.Context, in *relaypb.FollowRequest) (*relaypb.FollowReply, error) {
	c := r.copies[in.GetKind()]
	if c == nil {
		return &relaypb.FollowReply{Unknown: true}, nil
	}
	timer := time.NewTimer(time.Duration(in.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for {
		reply, changed := c.after(in.GetRevision())
		if len(reply.GetObjects()) > 0 || reply.GetWhole() || reply.GetUnknown() {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _ := c.after(in.GetRevision())
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
