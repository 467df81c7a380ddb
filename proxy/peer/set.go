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
	// DefaultHeartbeat is the period of gossip with the selected peers.
	DefaultHeartbeat = time.Second
	// DefaultRefresh is the period of reading the instance list.
	DefaultRefresh = 5 * time.Second
	// maxRecentResults is the number of recent calls from which the reachable part of a large set of
	// peers is estimated.
	maxRecentResults = 15
	// maxConcurrentAnnouncements bounds the concurrent calls of an announcement.
	maxConcurrentAnnouncements = 32
	// firstContactSpread is the time over which the first heartbeats are spread. A peer that starts at the same time may
	// refuse them until it listens, so they are sent up to firstContactTries times, firstContactDelay apart.
	firstContactSpread = 100 * time.Millisecond
	firstContactTries  = 4
	firstContactDelay  = 100 * time.Millisecond
	// firstContacts is how many peers are contacted first, and minFirstAnswers how many of them have to answer until they count
	// as asked. When the first confirmation of a configuration waited for the next answer of the store, 1.2 s later, an instance
	// of a large set made and answered about ten heartbeats until then.
	firstContacts   = 16
	minFirstAnswers = 12
	// retriesPerPeriod is how many unreachable peers of a large set are contacted in a period, in addition to the planned ones.
	// By the plan alone a set of 72 peers contacts each of them every 18 s, so that instances that are parted and meet again
	// would choose different schedulers and lenders for as long.
	retriesPerPeriod = 4
	// jitterFraction is the width of the random variation of a period, as a fraction of it, so that
	// instances don't act at the same time.
	jitterFraction = 0.2
)

// SetConfig configures a Set.
type SetConfig struct {
	Self   string // peer address of this instance
	List   objectstore.InstanceList
	Client *Client
	Config ConfigHandler // receives the digests of peers
	// OnAnswer, if set, receives the answers to this instance's calls in place of Config, with the
	// time of Now at which the call was sent.
	OnAnswer  func(ctx context.Context, sent time.Duration, in *peerpb.Digest)
	Now       func() time.Duration // required with OnAnswer
	Digest    func() *peerpb.Digest
	Heartbeat time.Duration // 0: DefaultHeartbeat
	Refresh   time.Duration // 0: DefaultRefresh
	Rand      *rand.Rand
	Log       logrus.FieldLogger
}

// Set tracks the peers of the instance list and which of them are reachable. It is safe for
// concurrent use.
type Set struct {
	cfg SetConfig

	mu            sync.Mutex
	random        *rand.Rand
	instances     []objectstore.Instance // without this one
	plan          *contact.Plan
	listed        bool                   // the list has been read at least once
	firstListed   chan struct{}          // closed once listed is set
	lastList      []objectstore.Instance // as last read
	peers         map[string]*peerState
	version       uint64 // see Version
	recentResults []bool // whether the last planned calls succeeded, newest last
	calls         uint64 // heartbeats sent
}

type peerState struct {
	tried        bool
	reachable    bool
	callInFlight bool
	leaving      bool   // the peer's last digest announced its drain
	lastCall     uint64 // Set.calls at the last heartbeat to the peer
	// calledSince: the peer has sent a heartbeat since its last one from this instance, which failed.
	calledSince bool
}

// retryable reports whether the last heartbeat to the peer has failed.
func (p *peerState) retryable() bool {
	return p.tried && !p.reachable && !p.callInFlight
}

// Status is a peer and its state according to the heartbeat.
type Status struct {
	Instance  objectstore.Instance
	Tried     bool // at least one heartbeat has completed
	Reachable bool
	Leaving   bool // the peer's last digest announced its drain
}

// live reports whether the peer is not leaving according to the platform's list and did not fail its last
// heartbeat. A peer without a heartbeat yet counts as live, so that the instances of a large fleet, each of
// which contacts only a few others, make the same choices.
func (s Status) live() bool {
	return !s.Instance.Leaving && (s.Reachable || !s.Tried)
}

// Usable reports whether the peer is live and has not announced its drain.
func (s Status) Usable() bool {
	return s.live() && !s.Leaving
}

// NewSet returns a set without peers. Run reads the instance list.
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
		return nil, errors.New("peer set has no clock for OnAnswer; set Now")
	}
	return &Set{cfg: cfg, random: cfg.Rand, plan: contact.NewPlan(cfg.Self, cfg.Rand), peers: map[string]*peerState{}, firstListed: make(chan struct{})}, nil
}

// Run reads the instance list and sends heartbeats until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	s.refresh(ctx)
	wg.Go(func() { s.runEvery(ctx, s.cfg.Refresh, s.refresh) })
	wait.UntilClosed(ctx, s.firstListed, s.cfg.Heartbeat)
	wg.Go(func() { s.introduce(ctx) })
	s.runEvery(ctx, s.cfg.Heartbeat, func(ctx context.Context) { s.sendHeartbeats(ctx, &wg) })
}

// RefreshNow reads the instance list immediately.
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
		// The platform has not written a list yet: this instance has no peers.
		instances, err = nil, nil
	}
	if err != nil {
		s.cfg.Log.WithField(FieldEvent, EventListFailed).WithError(err).
			Warn("failed to read the instance list, or the list is not usable; the last list stays in use")
		return
	}
	if s.isLastList(instances) {
		return
	}
	members := Members(instances)
	instances = slices.DeleteFunc(slices.Clone(instances), func(i objectstore.Instance) bool { return i.PeerAddress == s.cfg.Self })
	if s.setInstances(instances, members) {
		s.cfg.Log.WithFields(logrus.Fields{FieldEvent: EventPeersChanged, "peers": len(instances)}).
			Info("peers in the instance list changed")
	}
}

// isLastList reports whether a list is the one that is in use, and remembers it otherwise.
func (s *Set) isLastList(instances []objectstore.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed && slices.Equal(instances, s.lastList) {
		return true
	}
	s.lastList = instances
	return false
}

// Members converts instances to members of package contact, identified by peer address.
func Members(instances []objectstore.Instance) []contact.Member {
	members := make([]contact.Member, 0, len(instances))
	for _, instance := range instances {
		members = append(members, contact.Member{ID: instance.PeerAddress, FailureDomain: instance.FailureDomain})
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
	s.instances, s.peers = instances, peers
	if !s.listed {
		s.listed = true
		close(s.firstListed)
	}
	return changed
}

// Version returns a number that changes whenever the listed peers change or one of them becomes live or usable, or ceases
// to be.
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

// SetLeaving records whether a peer's digest announced its drain.
func (s *Set) SetLeaving(address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil && p.leaving != leaving {
		p.leaving = leaving
		s.version++
	}
}

// Live returns the peer addresses of this instance and of the listed peers that are not leaving according
// to the platform's list and did not fail their last heartbeat. Peers without a heartbeat yet count as live.
func (s *Set) Live() []string {
	return s.addresses(Status.live)
}

// Usable returns the peer addresses of this instance and of the usable peers: the live ones except those that have announced their drain. Those still
// answer other calls until they have handed back the quota that they hold.
func (s *Set) Usable() []string {
	return s.addresses(Status.Usable)
}

// addresses returns the peer addresses of this instance and of the peers for which include returns true.
func (s *Set) addresses(include func(Status) bool) []string {
	out := []string{s.cfg.Self}
	for _, p := range s.Peers() {
		if include(p) {
			out = append(out, p.Instance.PeerAddress)
		}
	}
	return out
}

// Listed returns the peer addresses of this instance and of all listed peers, leaving and unreachable ones too.
func (s *Set) Listed() []string {
	return s.addresses(func(Status) bool { return true })
}

// ListedCount returns the number of listed instances that are not leaving, including this one, or 0 if the
// list has not been read yet.
func (s *Set) ListedCount() int {
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

// ReachedFraction returns the fraction of all listed instances that this one reaches, including itself. Peers that are leaving
// count as listed. It is 0 until the list has been read. With more than contact.FullMeshPeers peers, whose calls take many
// periods to get round, the most recent calls bound the fraction, and stand for the peers that were not called yet; otherwise
// those count as not reached.
func (s *Set) ReachedFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return 0
	}
	reachable, untried := 0, 0
	for _, p := range s.peers {
		switch {
		case p.reachable:
			reachable++
		case !p.tried:
			untried++
		}
	}
	all := float64(len(s.peers) + 1)
	if len(s.instances) <= contact.FullMeshPeers {
		return float64(reachable+1) / all
	}
	successes := float64(countTrue(s.recentResults))
	estimate := (1 + float64(reachable) + float64(untried)*successes/maxRecentResults) / all
	return min(estimate, (successes+1)/float64(len(s.recentResults)+1))
}

// MajorityReachable reports whether this instance reaches a majority of the listed instances,
// including itself. With more than contact.FullMeshPeers peers it is estimated from the most recent
// calls, which go to varying peers. It is false until the list has been read.
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
