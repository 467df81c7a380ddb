package quota

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

const (
	// busyTick is the period of polling the shards while accounts have demand or loans.
	busyTick = 5 * time.Millisecond
	// idleTick is the polling period otherwise.
	idleTick = time.Second
	// ownerRefresh is the period of choosing owners from the live peers.
	ownerRefresh = 250 * time.Millisecond
	// suspectTerm is how long an instance is not chosen as an owner after a failed request. In a small
	// set of peers the heartbeat detects a failed instance meanwhile; in a large set the term starts again
	// with the next failed request.
	suspectTerm = 3 * time.Second
	// grantTimeout bounds a grant request. Tokens of a later reply would have expired.
	grantTimeout = quota.MaxTokenLifetime
	// loanTimeout bounds loan requests and hand-backs.
	loanTimeout = 500 * time.Millisecond
)

// sender polls the shards and sends their messages, one call per peer and kind at a time.
type sender struct {
	driver           *Driver
	signal           chan struct{}
	idle             atomic.Bool
	ownershipStopped atomic.Bool
	calls            sync.WaitGroup
	ownersAt         time.Duration
	live             []string // live instances from which the owners were chosen
	holders          []string // holders last passed to the shards
	listed           []string // instances by which owners are ranked for the tolerance
	owners           [quota.ShardCount]string

	mu          sync.Mutex
	suspects    map[string]time.Duration // end of the time during which an instance is not chosen
	ownerChecks map[int]bool             // shards whose owner should be called
	changed     bool                     // suspects have changed since the last suspectsChanged call
}

func newSender(d *Driver) *sender {
	return &sender{driver: d, signal: make(chan struct{}, 1), suspects: map[string]time.Duration{}, ownerChecks: map[int]bool{}}
}

// pollNow makes the sender poll the shards now.
func (s *sender) pollNow() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// pollNowIfIdle makes the sender poll the shards now if it polls at idleTick.
func (s *sender) pollNowIfIdle() {
	if s.idle.Load() {
		s.pollNow()
	}
}

// stopOwning makes this instance stop owning pools and hand back what it has borrowed.
func (s *sender) stopOwning() {
	s.ownershipStopped.Store(true)
	s.pollNow()
}

func (s *sender) run(ctx context.Context) {
	defer s.calls.Wait()
	for ctx.Err() == nil {
		tick := idleTick
		if s.round(ctx) {
			tick = busyTick
		}
		s.idle.Store(tick == idleTick)
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-s.signal:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// batch holds the messages of one round to one peer.
type batch struct {
	sentAt        time.Duration
	grantRequests map[int]quota.GrantRequest // by shard, like the others
	loanRequests  map[int]quota.OutgoingLoanRequest
	handBacks     map[int]quota.HandBack
}

// round polls all shards that have accounts, sends their messages, and reports whether any shard
// is busy.
func (s *sender) round(ctx context.Context) bool {
	s.chooseOwners()
	batches := map[string]*batch{}
	busy := false
	for i, sh := range s.driver.shards {
		sh.mu.Lock()
		if len(sh.limits) > 0 {
			now := s.driver.cfg.Clock()
			busy = sh.machine.Busy(now) || busy
			collect(batches, i, now, sh.machine.Poll(now))
		}
		sh.mu.Unlock()
	}
	for _, address := range slices.Sorted(maps.Keys(batches)) {
		s.send(ctx, address, batches[address])
	}
	s.checkOwners(ctx)
	return busy
}

// recordAnswer records whether an instance answered a grant request. If not, it is suspected and not
// chosen as an owner for suspectTerm. Wrongly suspecting a slow owner is harmless, since a shard may have
// two owners for a time.
func (s *sender) recordAnswer(address string, err error) {
	s.mu.Lock()
	_, suspected := s.suspects[address]
	s.changed = s.changed || suspected == (err == nil)
	if err == nil {
		delete(s.suspects, address)
	} else {
		s.suspects[address] = s.driver.cfg.Clock() + suspectTerm
	}
	s.mu.Unlock()
	if err != nil && !suspected {
		s.pollNow()
	}
}

// requestOwnerCheck makes this instance call the owner of a shard. A peer that requests tokens from this
// instance instead of the owner may have detected that the owner has failed.
func (s *sender) requestOwnerCheck(shard int) {
	s.mu.Lock()
	s.ownerChecks[shard] = true
	s.mu.Unlock()
	s.pollNow()
}

// checkOwners sends an empty grant request to the owner of each shard in ownerChecks.
func (s *sender) checkOwners(ctx context.Context) {
	s.mu.Lock()
	owners := map[string]bool{}
	for shard := range s.ownerChecks {
		owners[s.owners[shard]] = true
	}
	clear(s.ownerChecks)
	s.mu.Unlock()
	delete(owners, s.driver.cfg.Self)
	delete(owners, "")
	for _, owner := range slices.Sorted(maps.Keys(owners)) {
		s.start(func() { s.driver.requestGrants(ctx, owner, &batch{}) })
	}
}

// suspectsChanged reports whether suspects have changed since the last call.
func (s *sender) suspectsChanged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.changed
	s.changed = false
	return changed
}

// suspected returns the instances whose last grant request failed, less than suspectTerm ago.
func (s *sender) suspected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.driver.cfg.Clock()
	maps.DeleteFunc(s.suspects, func(_ string, until time.Duration) bool { return now >= until })
	return slices.Sorted(maps.Keys(s.suspects))
}

func collect(batches map[string]*batch, shard int, now time.Duration, messages quota.Messages) {
	batchFor := func(address string) *batch {
		if batches[address] == nil {
			batches[address] = &batch{
				sentAt: now, grantRequests: map[int]quota.GrantRequest{}, loanRequests: map[int]quota.OutgoingLoanRequest{}, handBacks: map[int]quota.HandBack{},
			}
		}
		return batches[address]
	}
	if len(messages.GrantRequest.Demands) > 0 {
		batchFor(messages.GrantRequest.Owner).grantRequests[shard] = messages.GrantRequest
	}
	for _, l := range messages.LoanRequests {
		batchFor(l.Holder).loanRequests[shard] = l
	}
	for _, h := range messages.HandBacks {
		batchFor(h.Holder).handBacks[shard] = h.HandBack
	}
}

// send starts the calls of a batch. Messages to this instance are handled synchronously.
func (s *sender) send(ctx context.Context, address string, b *batch) {
	if address == s.driver.cfg.Self {
		s.driver.handleOwnBatch(b)
		return
	}
	if len(b.grantRequests) > 0 {
		s.start(func() { s.driver.requestGrants(ctx, address, b) })
	}
	if len(b.loanRequests) > 0 {
		s.start(func() { s.driver.requestLoans(ctx, address, b) })
	}
	if len(b.handBacks) > 0 {
		s.start(func() { s.driver.sendHandBacks(ctx, address, b) })
	}
}

// start runs a call to a peer, whose answer must not end the process, in a new goroutine.
func (s *sender) start(call func()) {
	s.calls.Go(func() {
		_ = peer.Contain(s.driver.cfg.Log, "call for quota", func() error { call(); return nil }) // it logs a panic
	})
}

// chooseOwners sets the owner of every shard by rendezvous hashing over the live instances, and what this one may grant beyond
// the limits, if the instances or the holders have changed.
func (s *sender) chooseOwners() {
	d := s.driver
	now := d.cfg.Clock()
	if s.live != nil && now-s.ownersAt < ownerRefresh && !s.suspectsChanged() {
		return
	}
	s.ownersAt = now
	candidates := s.candidates()
	live, holders := peer.RendezvousTop("quota/owners", candidates, quota.OwnerCount(len(candidates))), d.fractions.holders()
	listed := d.cfg.Peers.Listed()
	slices.Sort(live)
	if slices.Equal(live, s.live) && slices.Equal(holders, s.holders) && slices.Equal(listed, s.listed) {
		return
	}
	s.live, s.holders, s.listed = live, holders, listed
	rankedOwners := peer.RendezvousTop("quota/owners", listed, quota.OwnerCount(len(listed)))
	for i, sh := range d.shards {
		owner := peer.Rendezvous("quota/"+strconv.Itoa(i), live)
		s.mu.Lock()
		s.owners[i] = owner
		s.mu.Unlock()
		tolerance := quota.OwnerTolerance{Tolerance: d.cfg.Tolerance, Rank: rankOf(d.cfg.Self, i, rankedOwners)}
		sh.with(func(m *quota.Shard) {
			m.SetOwner(d.cfg.Clock(), owner, holders)
			m.SetTolerance(tolerance)
		})
	}
}

// rankOf returns the place of an instance among the owners of a shard, and their number if it is none of them.
func rankOf(self string, shard int, owners []string) int {
	ranked := peer.RendezvousTop("quota/"+strconv.Itoa(shard), owners, len(owners))
	if rank := slices.Index(ranked, self); rank >= 0 {
		return rank
	}
	return math.MaxInt
}

// candidates returns the instances that can own a pool, sorted.
func (s *sender) candidates() []string {
	live, suspected := slices.Clone(s.driver.cfg.Peers.Live()), s.suspected()
	live = slices.DeleteFunc(live, func(a string) bool { return slices.Contains(suspected, a) })
	if s.ownershipStopped.Load() {
		live = slices.DeleteFunc(live, func(a string) bool { return a == s.driver.cfg.Self })
	}
	slices.Sort(live)
	return live
}
