package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// introduce contacts the first peers.
func (s *Set) introduce(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range s.firstPeers() {
		calls.Go(func() { s.firstContact(ctx, address) })
	}
	calls.Wait()
}

// firstPeers returns the peers of the first period, and in a large set those of the next ones up to firstContacts.
func (s *Set) firstPeers() []string {
	addresses := s.nextPeers()
	for period := 1; period < firstContacts && len(addresses) < firstContacts && s.samplesPeers(); period++ {
		addresses = append(addresses, s.nextPeers()...)
	}
	return addresses
}

// firstContact contacts a peer, again if it is not listening yet.
func (s *Set) firstContact(ctx context.Context, address string) {
	wait.For(ctx, s.randomBelow(firstContactSpread))
	for try := 1; s.contactOnce(ctx, address, try == firstContactTries); try++ {
		wait.For(ctx, firstContactDelay)
	}
}

func (s *Set) randomBelow(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int63n(int64(limit)))
}

// Introduced reports whether at least minFirstAnswers peers have answered, and their answers are applied.
func (s *Set) Introduced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := 0
	for _, p := range s.peers {
		if p.reachable {
			answered++
		}
	}
	return answered >= minFirstAnswers
}

// sendHeartbeats contacts the peers selected for this period. In a small set all calls start
// together, about a quarter of the period later. In a large set they are spread evenly over the period, so
// that news from one call is passed on in the answers that this instance gives before its next call.
func (s *Set) sendHeartbeats(ctx context.Context, wg *sync.WaitGroup) {
	addresses := s.nextPeers()
	for i, address := range addresses {
		delay := s.jittered(s.cfg.Heartbeat / 4)
		if s.samplesPeers() {
			delay = s.delayInPeriod(i, len(addresses))
		}
		wg.Go(func() { s.contact(ctx, address, delay) })
	}
	retries := s.nextRetries()
	for i, address := range retries {
		delay := s.delayInPeriod(i, len(retries))
		wg.Go(func() {
			wait.For(ctx, delay)
			s.Contact(ctx, address)
		})
	}
}

func (s *Set) samplesPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.instances) > contact.FullMeshPeers
}

// delayInPeriod returns a random time in the i-th of n equal parts of the heartbeat period.
func (s *Set) delayInPeriod(i, n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration((float64(i) + s.random.Float64()) / float64(n) * float64(s.cfg.Heartbeat))
}

// nextPeers returns the planned peers to contact and marks them as called, so that a peer has one call in flight at most.
func (s *Set) nextPeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, address := range s.plan.Next() {
		if p := s.peers[address]; p != nil && !p.callInFlight {
			s.begin(p)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// begin marks a peer as called. The caller holds mu.
func (s *Set) begin(p *peerState) {
	s.calls++
	p.callInFlight, p.calledSince, p.lastCall = true, false, s.calls
}

// nextRetries returns the unreachable peers of a large set to contact in this period and marks them as called: first those that
// have called this instance, then those that were not contacted for longest.
func (s *Set) nextRetries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.instances) <= contact.FullMeshPeers {
		return nil // all are contacted in each period
	}
	var addresses []string
	for address, p := range s.peers {
		if p.retryable() {
			addresses = append(addresses, address)
		}
	}
	turn := func(address string) uint64 {
		if s.peers[address].calledSince {
			return 0
		}
		return s.peers[address].lastCall
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(turn(a), turn(b)) })
	addresses = addresses[:min(len(addresses), retriesPerPeriod)]
	for _, address := range addresses {
		s.begin(s.peers[address])
	}
	return addresses
}

// Heard records that a peer has called this instance. The call proves no contact, since only answers to this instance's own
// calls do (see manifest.Adoption), but an unreachable peer is contacted soon.
func (s *Set) Heard(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil && p.retryable() {
		p.calledSince = true
	}
}

// Contact sends a heartbeat to a peer at once and reports whether it was answered. The result doesn't count in the estimates of
// MajorityReachable and ReachedFraction, which need an even choice of peers.
func (s *Set) Contact(ctx context.Context, address string) (answered bool) {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.Heartbeat)
	defer cancel()
	err := s.call(callCtx, address)
	if ctx.Err() == nil {
		s.recordReach(address, err)
	}
	return err == nil
}

// Ask sends a heartbeat to a peer and reports whether it was answered before ctx ended. A peer may have less time for it than
// for other heartbeats, so its silence doesn't make it unreachable.
func (s *Set) Ask(ctx context.Context, address string) (answered bool) {
	return s.call(ctx, address) == nil
}

// call sends a heartbeat to a peer and applies its answer. It fails if the answer can't be applied.
func (s *Set) call(ctx context.Context, address string) error {
	return Contain(s.cfg.Log, "answer to a heartbeat", func() error {
		sent := s.cfg.Now()
		digest, err := s.cfg.Client.Gossip(ctx, address, s.cfg.Digest())
		if err == nil {
			s.cfg.OnAnswer(ctx, sent, digest) // first, since a peer that counts as asked must not know more than was applied
		}
		return err
	})
}

func (s *Set) contact(ctx context.Context, address string, delay time.Duration) {
	wait.For(ctx, delay)
	s.contactOnce(ctx, address, true)
}

// contactOnce sends a heartbeat to a peer. Unless it is the last try, it reports whether to try again, because the peer does
// not listen, and records nothing then.
func (s *Set) contactOnce(ctx context.Context, address string, last bool) (again bool) {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.Heartbeat)
	defer cancel()
	err := s.call(callCtx, address)
	if ctx.Err() != nil {
		return false
	}
	if !last && errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	s.recordResult(address, err)
	return false
}

// recordResult records the result of a planned heartbeat.
func (s *Set) recordResult(address string, err error) {
	s.mu.Lock()
	if s.peers[address] != nil {
		s.recentResults = append(s.recentResults, err == nil)
		s.recentResults = s.recentResults[max(0, len(s.recentResults)-maxRecentResults):]
	}
	s.mu.Unlock()
	s.recordReach(address, err)
}

// recordReach records whether a peer has answered a heartbeat.
func (s *Set) recordReach(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil {
		return
	}
	changed, wasLive := !p.tried || p.reachable != (err == nil), !p.tried || p.reachable
	p.tried, p.reachable, p.callInFlight = true, err == nil, false
	if !changed {
		return
	}
	if wasLive != (err == nil) {
		s.version++
	}
	log := s.cfg.Log.WithField("peer", address)
	if err != nil {
		log.WithField(FieldEvent, EventPeerUnreachable).WithError(err).Warn("peer does not answer the heartbeat")
		return
	}
	log.WithField(FieldEvent, EventPeerReachable).Info("peer answers the heartbeat")
}

// Announce sends the current digest immediately to all peers except those whose last heartbeat failed.
// A peer that this call does not reach gets it with a later heartbeat.
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
