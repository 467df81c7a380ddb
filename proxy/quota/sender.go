package quota

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
)

const (
	// busyTick is the period of looking for messages while accounts have demand or loans.
	busyTick = 5 * time.Millisecond
	// idleTick is the period at rest.
	idleTick = time.Second
	// ownerRefresh is the period of choosing owners from the list of peers.
	ownerRefresh = 250 * time.Millisecond
	// askTimeout bounds a grant request. Tokens of a later answer would have expired.
	askTimeout = quota.MaxTokenLifetime
	// loanTimeout bounds loan requests and hand-backs.
	loanTimeout = 500 * time.Millisecond
)

// sender polls the shards and sends their messages, one call per peer and kind at a time.
type sender struct {
	driver    *Driver
	signal    chan struct{}
	idle      atomic.Bool
	notOwning atomic.Bool
	calls     sync.WaitGroup
	ownersAt  time.Duration
	live      []string // that the owners were chosen from
	holders   []string // that the owners were told
}

func newSender(d *Driver) *sender {
	return &sender{driver: d, signal: make(chan struct{}, 1)}
}

// wake makes the sender look for messages now.
func (s *sender) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// wakeIdle wakes the sender if it is at rest.
func (s *sender) wakeIdle() {
	if s.idle.Load() {
		s.wake()
	}
}

// stopOwning makes this instance hand back what it has borrowed.
func (s *sender) stopOwning() {
	s.notOwning.Store(true)
	s.wake()
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

// batch is the messages of one round for one peer.
type batch struct {
	sentAt    time.Duration
	asks      map[int]quota.Ask // by shard, like the others
	loans     map[int]quota.LoanAsk
	handBacks map[int]quota.HandBack
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
	return busy
}

func collect(batches map[string]*batch, shard int, now time.Duration, w quota.Work) {
	to := func(address string) *batch {
		if batches[address] == nil {
			batches[address] = &batch{
				sentAt: now, asks: map[int]quota.Ask{}, loans: map[int]quota.LoanAsk{}, handBacks: map[int]quota.HandBack{},
			}
		}
		return batches[address]
	}
	if len(w.Ask.Demands) > 0 {
		to(w.Ask.Owner).asks[shard] = w.Ask
	}
	for _, l := range w.Loans {
		to(l.Holder).loans[shard] = l
	}
	for _, h := range w.HandBacks {
		to(h.Holder).handBacks[shard] = h.HandBack
	}
}

// send starts the calls of a batch. Messages to the own instance are answered in place.
func (s *sender) send(ctx context.Context, address string, b *batch) {
	if address == s.driver.cfg.Self {
		s.driver.answerOwn(b)
		return
	}
	if len(b.asks) > 0 {
		s.calls.Go(func() { s.driver.ask(ctx, address, b) })
	}
	if len(b.loans) > 0 {
		s.calls.Go(func() { s.driver.borrow(ctx, address, b) })
	}
	if len(b.handBacks) > 0 {
		s.calls.Go(func() { s.driver.handBack(ctx, address, b) })
	}
}

// chooseOwners sets the owner of every shard by rendezvous hashing over the live instances, when
// these or the holders have changed.
func (s *sender) chooseOwners() {
	d := s.driver
	now := d.cfg.Clock()
	if s.live != nil && now-s.ownersAt < ownerRefresh {
		return
	}
	s.ownersAt = now
	live, holders := s.candidates(), d.keeper.holders()
	if slices.Equal(live, s.live) && slices.Equal(holders, s.holders) {
		return
	}
	s.live, s.holders = live, holders
	for i, sh := range d.shards {
		owner := peer.Rendezvous("quota/"+strconv.Itoa(i), live)
		sh.mu.Lock()
		sh.machine.SetOwner(d.cfg.Clock(), owner, holders)
		sh.mu.Unlock()
	}
}

// candidates returns the instances that can own a pool, sorted.
func (s *sender) candidates() []string {
	live := slices.Clone(s.driver.cfg.Peers.Live())
	if s.notOwning.Load() {
		live = slices.DeleteFunc(live, func(a string) bool { return a == s.driver.cfg.Self })
	}
	slices.Sort(live)
	return live
}
