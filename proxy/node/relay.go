package node

import (
	"context"
	"maps"
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
	// maxKeptChanges is how many changes of a kind a cache keeps for followers. Followers further behind get all objects.
	maxKeptChanges = 256
	// maxKeptPacked is for how many revisions of followers a cache keeps packed objects. Most followers have the same one.
	maxKeptPacked = 4
	// maxRelayAge is the age above which data of a relay is rejected and the follower calls the store itself, for the
	// configuration and the servers. agePerHop is added to it for a relay that follows another one: the wait and the duration
	// of its call. maxQuotaRelayAge is well below the term of a holder's confirmation. maxInstancesRelayAge is
	// below leaderlease.ListedTerm; changes of the list at a common start keep a relay from confirming it for seconds.
	maxRelayAge          = 2500 * time.Millisecond
	maxQuotaRelayAge     = 5 * time.Second
	maxInstancesRelayAge = 10 * time.Second
	agePerHop            = relayWait + 100*time.Millisecond
	// relayMargin is added to the wait of a call to a relay to get its timeout.
	relayMargin = 400 * time.Millisecond
	// relaySuspectTerm is how long a relay is skipped after a failure.
	relaySuspectTerm = 3 * time.Second
	// parentChoiceTerm is how late the end of a suspicion is noticed at most.
	parentChoiceTerm = 200 * time.Millisecond
)

// Errors of a relay that answers.
var (
	errRelayStale   = errors.New("the relay has not heard from the store lately")
	errRelayWithout = errors.New("the relay has no data of the kind")
)

// objectCache holds the objects of one kind as last read by this instance, and serves them to followers at other
// instances.
type objectCache struct {
	now func() time.Duration
	// maxAge is the age above which followers reject the data, for a relay that calls the store itself.
	maxAge time.Duration
	// repliesOnceOld makes held calls of followers end once the data is too old for them.
	repliesOnceOld bool

	mu          sync.Mutex
	objects     map[string]platform.Object
	changes     []objectChange // the latest ones, oldest first
	changesBase uint64         // revision before the first of changes
	// packed holds what followers received since the last change, by the revision that they had; 0 stands for all objects.
	packed     map[uint64]packedObjects
	revision   uint64
	asOf       time.Duration // time as of which nothing newer existed
	loaded     bool
	sourceLost bool          // the last read failed
	changed    chan struct{} // closed and replaced at each change
}

func newObjectCache(now func() time.Duration) *objectCache {
	return &objectCache{now: now, maxAge: maxRelayAge, objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// replace replaces all objects by those as of a revision, than which nothing newer existed as of a time.
func (c *objectCache) replace(objects []platform.Object, revision uint64, asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		c.objects[o.Name] = o
	}
	c.changes, c.changesBase, c.packed = nil, revision, nil
	c.revision, c.loaded, c.asOf = revision, true, max(c.asOf, asOf)
	c.notify()
}

// apply applies the changes up to a revision.
func (c *objectCache) apply(changes []platform.Object, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range changes {
		c.changes = append(c.changes, objectChange{Object: o, before: c.objects[o.Name]})
		c.objects[o.Name] = o
		if o.Deleted {
			delete(c.objects, o.Name)
		}
	}
	c.packed = nil
	if drop := excessChanges(c.changes); drop > 0 {
		c.changesBase = c.changes[drop-1].Revision
		c.changes = append([]objectChange(nil), c.changes[drop:]...)
	}
	c.revision = max(c.revision, revision)
	if len(changes) > 0 {
		c.notify()
	}
}

// all returns a copy of the objects by name.
func (c *objectCache) all() map[string]platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.objects)
}

// setSourceLost records whether the last read failed. Until the first objects are read, this tells followers not to wait
// for them.
func (c *objectCache) setSourceLost(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceLost == lost {
		return
	}
	c.sourceLost = lost
	if !c.loaded {
		c.notify()
	}
}

// awaitsFirstRead reports whether the first objects are still to come.
func (c *objectCache) awaitsFirstRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.loaded && !c.sourceLost
}

// confirm records that nothing newer existed as of a time.
func (c *objectCache) confirm(asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asOf = max(c.asOf, asOf)
}

// notify unblocks the waiting followers. The caller holds mu.
func (c *objectCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// changesSince returns the changes after a revision, or all objects if they are no longer kept, and a channel that is
// closed at the next change.
func (c *objectCache) changesSince(revision uint64) (reply *relaypb.FollowReply, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply = c.header(revision)
	reply.Objects = c.objectsSince(revision, reply.GetWhole())
	return reply, c.changed
}

// replyTo returns the reply to a follower, and a channel that is closed at the next change.
func (c *objectCache) replyTo(in *relaypb.FollowRequest) (reply *relaypb.FollowReply, changed <-chan struct{}) {
	if in.GetAcceptsPacked() {
		return c.packedChangesSince(in.GetRevision())
	}
	return c.changesSince(in.GetRevision())
}

// packedChangesSince is like changesSince for a follower that accepts packed objects. They are packed once for each revision
// that followers have.
func (c *objectCache) packedChangesSince(revision uint64) (reply *relaypb.FollowReply, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply = c.header(revision)
	if reply.GetWhole() {
		revision = 0
	}
	p, known := c.packed[revision]
	if !known {
		p = packObjects(c.deltasSince(revision, reply.GetWhole()))
		c.keepPacked(revision, p)
	}
	reply.Packed, reply.Objects = p.packed, p.objects
	return reply, c.changed
}

// keepPacked keeps objects, packed or too small for it, for other followers with the same revision: differences take a hash of
// both bodies to compute. The caller holds mu.
func (c *objectCache) keepPacked(revision uint64, p packedObjects) {
	if len(p.packed) == 0 && len(p.objects) == 0 {
		return
	}
	if c.packed == nil || len(c.packed) >= maxKeptPacked {
		c.packed = map[uint64]packedObjects{}
	}
	c.packed[revision] = p
}

// header returns a reply without objects to a follower that has a revision. The caller holds mu.
func (c *objectCache) header(revision uint64) *relaypb.FollowReply {
	return &relaypb.FollowReply{
		Revision: c.revision, Unknown: !c.loaded, AgeMs: uint64(max(c.now()-c.asOf, 0).Milliseconds()) + 1,
		Whole: c.loaded && (revision == 0 || revision < c.revision && revision < c.changesBase),
	}
}

// objectsSince returns all objects or the changes after a revision. The caller holds mu.
func (c *objectCache) objectsSince(revision uint64, all bool) []*relaypb.Object {
	var out []*relaypb.Object
	if all {
		for _, o := range c.objects {
			out = append(out, toProto(o))
		}
		return out
	}
	for _, change := range c.changes {
		if change.Revision > revision && revision < c.revision {
			out = append(out, toProto(change.Object))
		}
	}
	return out
}

// deltasSince is like objectsSince, with changes of large objects as differences. The caller holds mu.
func (c *objectCache) deltasSince(revision uint64, all bool) []*relaypb.Object {
	if all {
		return c.objectsSince(revision, all)
	}
	var out []*relaypb.Object
	for _, change := range c.changes {
		if change.Revision > revision && revision < c.revision {
			out = append(out, change.toDelta())
		}
	}
	return out
}

// object returns an object by name.
func (c *objectCache) object(name string) (platform.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.objects[name]
	return o, ok
}

func toProto(o platform.Object) *relaypb.Object {
	return &relaypb.Object{Name: o.Name, Revision: o.Revision, Deleting: o.Deleting, Deleted: o.Deleted, Spec: o.Spec}
}

func fromProto(in []*relaypb.Object) []platform.Object {
	out := make([]platform.Object, 0, len(in))
	for _, o := range in {
		out = append(out, platform.Object{
			Name: o.GetName(), Revision: o.GetRevision(), Deleting: o.GetDeleting(), Deleted: o.GetDeleted(), Spec: o.GetSpec(),
		})
	}
	return out
}

// relayService serves this instance's caches to followers and calls the relays that this instance follows. It
// implements relaypb.DRPCRelayServer.
type relayService struct {
	now      func() time.Duration
	client   *peer.Client
	peers    *peer.Set
	self     string // peer address
	locality Locality
	linkMbps float64 // of this instance
	learnEra func(era uint64, source string)

	caches map[string]*objectCache // by kind; not modified once the service runs

	mu       sync.Mutex
	suspects suspicion.List[string] // relays that are skipped
	// withoutSuspects is the result of selectParent while some are suspected.
	withoutSuspects parentChoice

	// evacuationReport, if set, returns what this instance tells about evacuations.
	evacuationReport func() *relaypb.FollowReply

	parent peer.Derived[relaytree.Parent] // the result of chooseParent without suspects
}

func newRelayService(n *Node, now func() time.Duration, kinds ...string) *relayService {
	r := &relayService{
		now: now, client: n.relayClient, peers: n.peers, self: n.settings.Listen.Peers, locality: n.settings.Locality,
		linkMbps: n.settings.Capacity.LinkMbps, learnEra: n.eras.Learn, caches: map[string]*objectCache{},
	}
	for _, kind := range kinds {
		r.caches[kind] = newObjectCache(now)
	}
	// Followers have to learn of withdrawn keys in time. For other kinds, whose watches wait longer, a reply of old data
	// would only make followers call the store while this instance still reaches it.
	r.caches[platform.ConfigKind].repliesOnceOld = true
	r.caches[quotaKind].maxAge = maxQuotaRelayAge
	r.caches[instancesKind].maxAge = maxInstancesRelayAge
	return r
}

// serveEvacuations makes this instance pass on evacuations and report which it has applied. Call it before serving.
func (r *relayService) serveEvacuations(report func() *relaypb.FollowReply) {
	r.evacuationReport = report
	cache := newObjectCache(r.now)
	cache.repliesOnceOld = true // followers of a relay that is cut off must not miss an evacuation for long
	r.caches[platform.EvacuationsKind] = cache
}

// chooseParent returns the relay that this instance follows, or the store.
func (r *relayService) chooseParent() relaytree.Parent {
	if r.suspectsAny() {
		return r.parentWithoutSuspects()
	}
	return r.parentOfAll()
}

// parentOfAll returns the parent as long as no instance is suspected.
func (r *relayService) parentOfAll() relaytree.Parent {
	return r.parent.Get(r.peers.Version(), func() relaytree.Parent {
		// A suspicion that begins meanwhile must not remain in the choice once it has ended.
		return r.selectParent(func(string) bool { return false })
	})
}

// parentChoice is a choice that is kept for parentChoiceTerm.
type parentChoice struct {
	parent     relaytree.Parent
	version    uint64 // of the peers
	until      time.Duration
	suspicions uint64 // number of suspicions so far
}

// parentWithoutSuspects returns the parent among the instances that are not suspected. It is needed for each reply, and
// choosing it in a region of 700 instances takes milliseconds.
func (r *relayService) parentWithoutSuspects() relaytree.Parent {
	version, now := r.peers.Version(), r.now()
	r.mu.Lock()
	kept := r.withoutSuspects
	r.mu.Unlock()
	if kept.version == version && now < kept.until {
		return kept.parent
	}
	parent := r.selectParent(r.isSuspected)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withoutSuspects.suspicions == kept.suspicions {
		r.withoutSuspects = parentChoice{parent, version, now + parentChoiceTerm, kept.suspicions}
	}
	return parent
}

func (r *relayService) suspectsAny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.Len() > 0 && r.suspects.Any(r.now())
}

// selectParent chooses among the peers that are usable and not to be skipped.
func (r *relayService) selectParent(skip func(address string) bool) relaytree.Parent {
	region := []relaytree.Instance{{Address: r.self, LinkMbps: r.linkMbps}}
	for _, p := range r.peers.Peers() {
		if p.Usable() && p.Instance.Region == r.locality.Region && !skip(p.Instance.PeerAddress) {
			region = append(region, relaytree.Instance{Address: p.Instance.PeerAddress, LinkMbps: p.Instance.Capacity.LinkMbps})
		}
	}
	return relaytree.ChooseParent(r.self, region, peer.RendezvousTop)
}

// ageLimit returns the age above which data of a kind is rejected that comes from a relay.
func (r *relayService) ageLimit(p relaytree.Parent, kind string) time.Duration {
	return r.caches[kind].maxAge + time.Duration(p.Hops-1)*agePerHop
}

func (r *relayService) isSuspected(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.Contains(r.now(), address)
}

// suspect skips a relay for relaySuspectTerm, because it failed or has no recent data.
func (r *relayService) suspect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.Add(r.now(), address, relaySuspectTerm)
	r.withoutSuspects = parentChoice{suspicions: r.withoutSuspects.suspicions + 1}
}

// askRelay gets the changes after a revision from a relay, packed or not.
func (r *relayService) askRelay(ctx context.Context, relay relaytree.Parent, kind string, revision uint64, packed bool, wait time.Duration) (*relaypb.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	client := relaypb.NewDRPCRelayClient(r.client.Conn(ctx, relay.Address))
	reply, err := client.Follow(ctx, &relaypb.FollowRequest{
		Kind: kind, Revision: revision, WaitMs: uint32(wait.Milliseconds()), AcceptsPacked: packed,
	})
	switch {
	case err != nil:
		return nil, err
	case reply.GetUnknown():
		return nil, errRelayWithout
	case reply.GetAgeMs() > uint64(r.ageLimit(relay, kind).Milliseconds()):
		return nil, errRelayStale
	}
	return reply, nil
}

// Follow implements relaypb.DRPCRelayServer. It waits for the first objects too, so that instances that start together
// with their relay don't read everything from the store. Where the cache says so it replies once its data is too old for a
// follower, so that the follower looks elsewhere.
func (r *relayService) Follow(ctx context.Context, in *relaypb.FollowRequest) (*relaypb.FollowReply, error) {
	if in.GetKind() == evacuationReportsKind && r.evacuationReport != nil {
		return r.evacuationReport(), nil
	}
	cache := r.caches[in.GetKind()]
	if cache == nil {
		return &relaypb.FollowReply{Unknown: true}, nil
	}
	began := r.now()
	until := began + time.Duration(in.GetWaitMs())*time.Millisecond
	for {
		held := r.now() - began // before the age is taken, or the reply would seem newer than it is
		reply, changed := cache.replyTo(in)
		left := until - r.now()
		if cache.repliesOnceOld && !reply.GetUnknown() {
			left = min(left, r.followerAgeLimit(cache)-time.Duration(reply.GetAgeMs())*time.Millisecond)
		}
		if len(reply.GetObjects())+len(reply.GetPacked()) > 0 || reply.GetWhole() || left <= 0 || reply.GetUnknown() && !cache.awaitsFirstRead() {
			reply.HeldMs = uint64(held.Milliseconds())
			return reply, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
		timer.Stop()
	}
}

// followerAgeLimit returns the age above which the followers of this instance reject the data of a cache.
func (r *relayService) followerAgeLimit(cache *objectCache) time.Duration {
	if r.chooseParent().Address == "" {
		return cache.maxAge
	}
	return cache.maxAge + agePerHop
}
