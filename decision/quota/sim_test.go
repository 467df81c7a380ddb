package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"
)

const (
	simPoll        = 5 * time.Millisecond
	simRefresh     = 100 * time.Millisecond // interval at which owners and usable fractions are updated
	simWait        = 2 * time.Second        // how long a statement waits for the owner, as in the driver
	simCallTimeout = 300 * time.Millisecond // after which an unanswered request fails
)

// simEvent is a step that runs at a point in true time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simConfig configures the network and the faults of a run.
type simConfig struct {
	limits    map[string]Limits
	latency   time.Duration // one way
	lossShare float64       // proportion of messages lost
	lateShare float64       // proportion of messages delayed by up to lateMax
	lateMax   time.Duration
	maxDrift  float64 // largest relative deviation of a clock's rate
}

// sim simulates several instances, the store and the network between them in true time.
type sim struct {
	cfg       simConfig
	accounts  []string // sorted
	random    *rand.Rand
	now       time.Duration
	seq       int
	queue     simQueue
	nodes     map[string]*simNode // by address
	phases    []limitsPhase
	list      []string // the platform's list of instances
	record    Record
	version   uint64
	storeDown bool
	messages  int
	waits     []time.Duration // of the admitted statements
	admitted  func(account string, at time.Duration)
	refused   func(account string)
}

// simNode is one process.
type simNode struct {
	s           *sim
	address     string
	running     bool
	pausedUntil time.Duration // true time
	rate        float64       // of its clock
	offset      time.Duration
	manager     *ClaimManager
	shards      map[string]*Shard // one per account
	view        []string
	storeBusy   bool
	refreshAt   time.Duration // true time
	waiters     map[string][]*simWaiter
	epoch       uint64
	phase       int // index in sim.phases of the limits in force
}

type simWaiter struct {
	done  bool
	since time.Duration
}

func newSim(cfg simConfig, seed int64) *sim {
	return &sim{
		cfg: cfg, accounts: sortedKeys(cfg.limits), phases: []limitsPhase{{limits: cfg.limits}}, random: rand.New(rand.NewSource(seed)), nodes: map[string]*simNode{},
		admitted: func(string, time.Duration) {}, refused: func(string) {},
	}
}

func (s *sim) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{max(t, s.now), s.seq, run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// start starts a process at an address.
func (s *sim) start(address string) *simNode {
	n := &simNode{
		s: s, address: address, running: true, rate: 1 + s.cfg.maxDrift*(2*s.random.Float64()-1),
		offset: time.Duration(s.random.Int63n(int64(time.Hour))), shards: map[string]*Shard{},
		waiters: map[string][]*simWaiter{}, epoch: s.random.Uint64(), view: slices.Clone(s.list), phase: len(s.phases) - 1,
	}
	n.manager = NewClaimManager(address, n.epoch, n.clock(), rand.New(rand.NewSource(s.random.Int63())))
	for _, account := range s.accounts {
		n.shards[account] = NewShard(address, n.epoch)
	}
	s.nodes[address] = n
	n.setAccounts()
	n.loop()
	return n
}

// setAccounts applies the limits of the current phase. An account that they leave out is removed.
func (n *simNode) setAccounts() {
	limits := n.s.phases[n.phase].limits
	for _, account := range n.s.accounts {
		own := map[string]Limits{}
		if l, listed := limits[account]; listed {
			own[account] = l
		}
		n.shards[account].SetAccounts(n.clock(), own)
	}
}

func (n *simNode) crash() {
	n.running = false
	n.s.updatePhasesDone()
}

// limitsPhase is a set of limits, and when the first process and when every process had them in
// force.
type limitsPhase struct {
	limits      map[string]Limits
	first, done time.Duration // done is negative while some process has earlier limits
}

// change delivers new limits to every process, each within lag.
func (s *sim) change(limits map[string]Limits, lag time.Duration) {
	s.phases = append(s.phases, limitsPhase{limits: limits, first: s.now, done: -1})
	latest := len(s.phases) - 1
	for _, address := range sortedKeys(s.nodes) {
		n := s.nodes[address]
		s.at(s.now+time.Duration(s.random.Int63n(int64(lag))), func() { n.do(func() { n.adopt(latest) }) })
	}
}

func (n *simNode) adopt(phase int) {
	if phase <= n.phase {
		return
	}
	n.phase = phase
	n.setAccounts()
	n.s.updatePhasesDone()
}

// updatePhasesDone records when every process has the limits of a phase or later ones.
func (s *sim) updatePhasesDone() {
	for i := range s.phases {
		behind := func(n *simNode) bool { return n.running && n.phase < i }
		if s.phases[i].done < 0 && !slices.ContainsFunc(slices.Collect(maps.Values(s.nodes)), behind) {
			s.phases[i].done = s.now
		}
	}
}

func (n *simNode) clock() time.Duration {
	return n.offset + time.Duration(n.rate*float64(n.s.now))
}

// do runs a step of the process, after its pause if it is paused.
func (n *simNode) do(run func()) {
	if !n.running {
		return
	}
	if n.s.now < n.pausedUntil {
		n.s.at(n.pausedUntil, func() { n.do(run) })
		return
	}
	run()
}

func (n *simNode) loop() {
	n.do(func() {
		n.syncRecord()
		n.poll()
		n.s.at(n.s.now+simPoll, n.loop)
	})
}

// owner returns the owner of an account, by an order of the addresses that differs per account.
func (n *simNode) owner(account string) string {
	best, bestScore := "", uint64(0)
	for _, address := range n.view {
		score := uint64(14695981039346656037)
		for _, c := range []byte(address + account) {
			score = (score ^ uint64(c)) * 1099511628211
		}
		score ^= score >> 29
		if best == "" || score > bestScore {
			best, bestScore = address, score
		}
	}
	return best
}

func (n *simNode) poll() {
	if n.s.now >= n.refreshAt {
		n.refreshAt = n.s.now + simRefresh
		n.refresh()
	}
	for _, account := range n.s.accounts {
		n.send(n.shards[account], account)
	}
}

func (n *simNode) refresh() {
	usable, until := n.manager.Usable(n.clock())
	holders := n.manager.Holders()
	for _, account := range n.s.accounts {
		n.shards[account].SetUsable(n.clock(), usable, until)
		n.shards[account].SetOwner(n.clock(), n.owner(account), holders)
	}
}

func (n *simNode) send(shard *Shard, account string) {
	sentAt := n.clock()
	messages := shard.Poll(sentAt)
	if len(messages.GrantRequest.Demands) > 0 {
		n.requestGrant(shard, account, sentAt, messages.GrantRequest)
	}
	for _, outgoing := range messages.LoanRequests {
		n.call(outgoing.Holder, func(m *simNode) func() {
			loan := m.shards[account].Lend(m.clock(), outgoing.Request)
			return func() { shard.HandleLoan(n.clock(), sentAt, outgoing, loan) }
		}, func() {})
	}
	for _, h := range messages.HandBacks {
		n.call(h.Holder, func(m *simNode) func() {
			m.shards[account].AcceptHandBack(m.clock(), h.HandBack)
			return func() {}
		}, func() {})
	}
}

func (n *simNode) requestGrant(shard *Shard, account string, sentAt time.Duration, request GrantRequest) {
	n.call(request.Owner, func(m *simNode) func() {
		grant := m.shards[account].Grant(m.clock(), request.Demands[0])
		m.send(m.shards[account], account)
		return func() {
			shard.HandleGrants(n.clock(), sentAt, request, m.epoch, []Grant{grant})
			n.retry(account)
		}
	}, func() {
		shard.GrantRequestFailed(n.clock(), request)
		n.retry(account)
	})
}

// call sends a request to address and its answer back. handle processes the request and returns a
// function that processes the answer.
func (n *simNode) call(address string, handle func(*simNode) func(), failed func()) {
	answered := false
	if address == n.address {
		handle(n)()
		return
	}
	n.s.at(n.s.now+simCallTimeout, func() {
		n.do(func() {
			if !answered {
				answered = true
				failed()
			}
		})
	})
	n.s.transmit(func() {
		m := n.s.nodes[address]
		if m == nil {
			return
		}
		m.do(func() {
			answer := handle(m)
			n.s.transmit(func() {
				n.do(func() {
					if !answered {
						answered = true
						answer()
					}
				})
			})
		})
	})
}

func (s *sim) transmit(deliver func()) {
	s.messages++
	if s.random.Float64() < s.cfg.lossShare {
		return
	}
	delay := s.cfg.latency + time.Duration(s.random.ExpFloat64()*float64(s.cfg.latency)/10)
	if s.random.Float64() < s.cfg.lateShare {
		delay += time.Duration(s.random.Float64() * float64(s.cfg.lateMax))
	}
	s.at(s.now+delay, deliver)
}

// syncRecord reads and writes the record. The answer to a write may be lost.
func (n *simNode) syncRecord() {
	if n.storeBusy || n.manager.Version() == n.s.version && n.clock() < n.manager.NextAt() {
		return
	}
	n.storeBusy = true
	again := func() { n.s.at(n.s.now+100*time.Millisecond, func() { n.storeBusy = false }) }
	n.storeCall(func() func() {
		record, version := n.s.record, n.s.version
		return func() {
			n.manager.Observe(n.clock(), record, version)
			n.plan(again)
		}
	}, again)
}

func (n *simNode) plan(again func()) {
	var lent Mask
	usable, until := n.manager.Usable(n.clock())
	for _, shard := range n.shards {
		shard.SetUsable(n.clock(), usable, until)
		lent |= shard.Lent(n.clock())
	}
	record, wanted := n.manager.Plan(n.clock(), len(n.view), lent)
	if !wanted {
		again()
		return
	}
	onto := n.manager.Version()
	n.storeCall(func() func() {
		if n.s.version != onto {
			return again
		}
		n.s.record, n.s.version = record, onto+1
		return func() {
			n.manager.Observe(n.clock(), record, onto+1)
			again()
		}
	}, again)
}

// storeCall runs effect in the store after a delay, and the function it returns in the process. If
// no answer arrives, it runs lost after a timeout. An effect may take place after lost has run.
func (n *simNode) storeCall(effect func() func(), lost func()) {
	s := n.s
	delay := func() time.Duration {
		d := 2 * time.Millisecond
		if s.random.Float64() < s.cfg.lateShare {
			d += time.Duration(s.random.Float64() * float64(s.cfg.lateMax))
		}
		return d
	}
	answered := false
	s.at(s.now+500*time.Millisecond, func() {
		n.do(func() {
			if !answered {
				answered = true
				lost()
			}
		})
	})
	s.at(s.now+delay(), func() {
		if s.storeDown || s.random.Float64() < s.cfg.lossShare {
			return
		}
		result := effect()
		if s.random.Float64() < s.cfg.lossShare {
			return
		}
		s.at(s.now+delay(), func() {
			n.do(func() {
				if !answered {
					answered = true
					result()
				}
			})
		})
	})
}

// arrive delivers a statement to the process.
func (n *simNode) arrive(account string) {
	if !n.running {
		return
	}
	n.do(func() {
		v := n.shards[account].Admit(n.clock(), account)
		n.decide(account, v, nil)
	})
}

// decide applies a verdict; w is set for a statement that has waited.
func (n *simNode) decide(account string, v Verdict, w *simWaiter) {
	switch {
	case v.Admitted:
		wait := time.Duration(0)
		if w != nil {
			wait = n.s.now - w.since
		}
		n.s.waits = append(n.s.waits, wait)
		n.s.admitted(account, n.s.now)
	case !v.Wait:
		n.s.refused(account)
	case w != nil:
		n.waiters[account] = append(n.waiters[account], w)
		return
	default:
		n.wait(account)
		return
	}
	if w != nil {
		w.done = true
	}
}

func (n *simNode) wait(account string) {
	w := &simWaiter{since: n.s.now}
	n.waiters[account] = append(n.waiters[account], w)
	n.s.at(n.s.now+simWait, func() {
		n.do(func() {
			if !w.done {
				w.done = true
				n.shards[account].Refuse(n.clock(), account)
				n.s.refused(account)
			}
		})
	})
	n.send(n.shards[account], account)
}

func (n *simNode) retry(account string) {
	waiters := n.waiters[account]
	n.waiters[account] = nil
	for _, w := range waiters {
		if !w.done {
			n.decide(account, n.shards[account].Retry(n.clock(), account), w)
		}
	}
}

// checkOverlap returns an error if two processes may currently use the same fraction, in their
// pools or as holders.
func (s *sim) checkOverlap() error {
	var held Mask
	for _, n := range s.nodes {
		usable, _ := n.manager.Usable(n.clock())
		if n.running && held&usable != 0 {
			return fmt.Errorf("at %v a fraction has two holders", s.now)
		}
		if n.running {
			held |= usable
		}
	}
	for account := range s.cfg.limits {
		if err := s.checkPoolOverlap(account); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) checkPoolOverlap(account string) error {
	var used Mask
	for _, n := range s.nodes {
		if !n.running {
			continue
		}
		now, shard := n.clock(), n.shards[account]
		shard.holder.expire(now)
		shard.owner.expireLoans(now)
		local := shard.holder.usable &^ shard.holder.loan.fractions()
		for _, m := range []Mask{local, shard.owner.fractions()} {
			if used&m != 0 {
				return fmt.Errorf("at %v a fraction of %s is in two buckets", s.now, account)
			}
			used |= m
		}
	}
	return nil
}
