package peer

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// DefaultHeartbeat is the period of gossip with each chosen peer.
	DefaultHeartbeat = time.Second
	// DefaultRefresh is the period of reading the instance list.
	DefaultRefresh = 5 * time.Second
	// maxRecentResults is the number of last calls that tell how many of many peers are reachable.
	maxRecentResults = 15
	// maxConcurrentAnnouncements bounds the calls of an announcement that are under way at a time.
	maxConcurrentAnnouncements = 32
	// jitterFraction spreads periods by up to this part, so that instances don't act together.
	jitterFraction = 0.2
)

// SetConfig configures a Set.
type SetConfig struct {
	Self   string // own peer address
	List   objectstore.InstanceList
	Client *Client
	Config ConfigHandler // receives the digests of peers
	// OnAnswer, if set, receives the answers to own calls in place of Config, with the time of Now
	// at which the call was sent.
	OnAnswer  func(ctx context.Context, sent time.Duration, in *peerpb.Digest)
	Now       func() time.Duration // needed with Answered
	Digest    func() *peerpb.Digest
	Heartbeat time.Duration // 0: DefaultHeartbeat
	Refresh   time.Duration // 0: DefaultRefresh
	Rand      *rand.Rand
	Log       logrus.FieldLogger
}

// Set knows the peers from the instance list and which of them answer. It is safe for
// concurrent use.
type Set struct {
	cfg SetConfig

	mu            sync.Mutex
	random        *rand.Rand
	instances     []objectstore.Instance // without the own one
	plan          *contact.Plan
	listed        bool // the list was read at least once
	peers         map[string]*peerState
	version       uint64 // of what Peers returns
	recentResults []bool // whether the last calls succeeded, newest last
}

type peerState struct {
	tried        bool
	reachable    bool
	callInFlight bool
	leaving      bool // the peer says that it drains
}

// Status is a peer and what the heartbeat has found.
type Status struct {
	Instance  objectstore.Instance
	Tried     bool // at least one heartbeat has ended
	Reachable bool
	Leaving   bool // the peer's last digest said that it drains
}

// live reports whether the peer neither leaves by the platform's list nor failed its last heartbeat. One that was not
// tried yet counts as live, so that the instances of a large fleet, which call only a few others, choose alike.
func (p Status) live() bool {
	return !p.Instance.Leaving && (p.Reachable || !p.Tried)
}

// Usable reports whether the peer is live and has not announced its drain.
func (p Status) Usable() bool {
	return p.live() && !p.Leaving
}

// NewSet returns a set without peers; Run fills it.
func NewSet(cfg SetConfig) (*Set, error) {
	if cfg.Self == "" || cfg.List == nil || cfg.Client == nil || cfg.Config == nil || cfg.Digest == nil || cfg.Rand == nil || cfg.Log == nil {
		return nil, errors.New("peer set is incomplete; set Self, List, Client, Config, Digest, Rand and Log")
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Refresh == 0 {
		cfg.Refresh = DefaultRefresh
	}
	if cfg.OnAnswer == nil {
		cfg.Now = func() time.Duration { return 0 }
		cfg.OnAnswer = func(ctx context.Context, _ time.Duration, in *peerpb.Digest) { _, _ = cfg.Config.Gossip(ctx, in) }
	}
	if cfg.Now == nil {
		return nil, errors.New("peer set has no clock for Answered; set Now")
	}
	return &Set{cfg: cfg, random: cfg.Rand, plan: contact.NewPlan(cfg.Self, cfg.Rand), peers: map[string]*peerState{}}, nil
}

// Run reads the list and contacts peers until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	s.refresh(ctx)
	wg.Go(func() { s.runEvery(ctx, s.cfg.Refresh, s.refresh) })
	s.sendHeartbeats(ctx, &wg)
	s.runEvery(ctx, s.cfg.Heartbeat, func(ctx context.Context) { s.sendHeartbeats(ctx, &wg) })
}

// RefreshNow takes the list of instances at once.
func (s *Set) RefreshNow() {
	s.refresh(context.Background())
}

func (s *Set) runEvery(ctx context.Context, period time.Duration, step func(context.Context)) {
	for wait.For(ctx, s.jittered(period)) {
		step(ctx)
	}
}

func (s *Set) jittered(period time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return period + time.Duration(jitterFraction*(s.random.Float64()-0.5)*float64(period))
}

func (s *Set) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Refresh)
	defer cancel()
	instances, err := s.cfg.List.Instances(ctx)
	if errors.Is(err, objectstore.ErrNotFound) {
		// The platform has not written a list: this instance works alone.
		instances, err = nil, nil
	}
	if err != nil {
		s.cfg.Log.WithField(FieldEvent, EventListFailed).WithError(err).
			Warn("instance list can't be read or used; the last list stays in use")
		return
	}
	members := Members(instances)
	instances = slices.DeleteFunc(slices.Clone(instances), func(i objectstore.Instance) bool { return i.PeerAddress == s.cfg.Self })
	if s.setInstances(instances, members) {
		s.cfg.Log.WithFields(logrus.Fields{FieldEvent: EventPeersChanged, "peers": len(instances)}).
			Info("instance list names other peers than before")
	}
}

// Members returns the listed instances as package contact names them, by peer address.
func Members(instances []objectstore.Instance) []contact.Member {
	members := make([]contact.Member, 0, len(instances))
	for _, i := range instances {
		members = append(members, contact.Member{ID: i.PeerAddress, FailureDomain: i.FailureDomain})
	}
	return members
}

func (s *Set) setInstances(instances []objectstore.Instance, members []contact.Member) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make(map[string]*peerState, len(instances))
	for _, instance := range instances {
		peers[instance.PeerAddress] = s.peers[instance.PeerAddress]
		if peers[instance.PeerAddress] == nil {
			peers[instance.PeerAddress] = &peerState{}
			changed = true
		}
	}
	changed = changed || len(peers) != len(s.peers)
	if !slices.Equal(instances, s.instances) {
		s.version++
	}
	if changed || !s.listed {
		s.plan.SetMembers(members)
	}
	s.instances, s.peers, s.listed = instances, peers, true
	return changed
}

// sendHeartbeats contacts the peers of this period. Few peers are contacted together, in half of it; with many,
// the calls are spread evenly, since what one brings goes out with the answers given before the next.
func (s *Set) sendHeartbeats(ctx context.Context, wg *sync.WaitGroup) {
	addresses := s.nextPeers()
	for i, address := range addresses {
		delay := s.jittered(s.cfg.Heartbeat / 4)
		if s.samplesPeers() {
			delay = s.delayInPeriod(i, len(addresses))
		}
		wg.Go(func() { s.contact(ctx, address, delay) })
	}
}

func (s *Set) samplesPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.instances) > contact.FullMeshPeers
}

// delayInPeriod returns a random time of the i-th of n parts of the period.
func (s *Set) delayInPeriod(i, n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration((float64(i) + s.random.Float64()) / float64(n) * float64(s.cfg.Heartbeat))
}

// nextPeers returns the peers to contact and marks them, so that a slow call is not doubled. A peer that
// calls by itself is contacted all the same: only the answers to own calls prove contact, see
// manifest.Adoption.
func (s *Set) nextPeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, address := range s.plan.Next() {
		if p := s.peers[address]; p != nil && !p.callInFlight {
			p.callInFlight = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (s *Set) contact(ctx context.Context, address string, delay time.Duration) {
	wait.For(ctx, delay)
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.Heartbeat)
	defer cancel()
	sent := s.cfg.Now()
	digest, err := s.cfg.Client.Gossip(callCtx, address, s.cfg.Digest())
	if ctx.Err() != nil {
		return
	}
	s.recordResult(address, err)
	if err == nil {
		s.cfg.OnAnswer(ctx, sent, digest)
	}
}

func (s *Set) recordResult(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil {
		return
	}
	changed := !p.tried || p.reachable != (err == nil)
	s.recentResults = append(s.recentResults, err == nil)
	s.recentResults = s.recentResults[max(0, len(s.recentResults)-maxRecentResults):]
	p.tried, p.reachable, p.callInFlight = true, err == nil, false
	if !changed {
		return
	}
	s.version++
	log := s.cfg.Log.WithField("peer", address)
	if err != nil {
		log.WithField(FieldEvent, EventPeerUnreachable).WithError(err).Warn("peer does not answer the heartbeat")
		return
	}
	log.WithField(FieldEvent, EventPeerReachable).Info("peer answers the heartbeat")
}

// Version changes with each change of what Peers returns.
func (s *Set) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Peers returns all listed peers in list order.
func (s *Set) Peers() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Status, 0, len(s.instances))
	for _, instance := range s.instances {
		p := s.peers[instance.PeerAddress]
		out = append(out, Status{Instance: instance, Tried: p.tried, Reachable: p.reachable, Leaving: p.leaving})
	}
	return out
}

// SetLeaving notes what a peer's digest says about its drain.
func (s *Set) SetLeaving(address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil && p.leaving != leaving {
		p.leaving = leaving
		s.version++
	}
}

// Announce sends the present digest to all peers that answer, at once. A peer that does not take
// it learns the same by a later heartbeat.
func (s *Set) Announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Heartbeat)
	defer cancel()
	var calls sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentAnnouncements)
	for _, p := range s.Peers() {
		if p.Tried && !p.Reachable {
			continue
		}
		limit <- struct{}{}
		calls.Go(func() {
			_, _ = s.cfg.Client.Gossip(ctx, p.Instance.PeerAddress, s.cfg.Digest())
			<-limit
		})
	}
	calls.Wait()
}

// Live returns the peer addresses of this instance and of the listed peers that neither leave by
// the platform's list nor failed their last heartbeat. Peers that were not tried yet count as live.
func (s *Set) Live() []string {
	return s.addresses(Status.live)
}

// HomeCandidates returns the live instances without the peers that have announced their drain. Those still
// answer other calls, until they have handed back what they hold.
func (s *Set) HomeCandidates() []string {
	return s.addresses(Status.Usable)
}

// addresses returns this instance and the peers that a condition holds for.
func (s *Set) addresses(counts func(Status) bool) []string {
	out := []string{s.cfg.Self}
	for _, p := range s.Peers() {
		if counts(p) {
			out = append(out, p.Instance.PeerAddress)
		}
	}
	return out
}

// Listed returns the number of listed instances that don't leave, this one included, or 0 while
// the list was not read.
func (s *Set) Listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return 0
	}
	n := 1
	for _, instance := range s.instances {
		if !instance.Leaving {
			n++
		}
	}
	return n
}

// MajorityReachable reports whether this instance reaches a majority of the listed instances,
// itself included. With more than contact.FullMeshPeers peers it is estimated from the last calls, which
// went to various peers. It is false until the list was read.
func (s *Set) MajorityReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.instances) > contact.FullMeshPeers {
		return 2*countTrue(s.recentResults) > len(s.recentResults)
	}
	reached := 1
	for _, p := range s.peers {
		if p.reachable {
			reached++
		}
	}
	return s.listed && 2*reached > len(s.peers)+1
}

func countTrue(values []bool) int {
	n := 0
	for _, v := range values {
		if v {
			n++
		}
	}
	return n
}
