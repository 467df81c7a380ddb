package leaderlease

import (
	"cmp"
	"hash/fnv"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/failover"
)

const (
	ms        = time.Millisecond
	storeName = "store"
	database  = "db"
)

// order is a promotion that was ordered; its index is the term that it begins. Index 0 stands for the first primary.
type order struct {
	server string
	at     time.Duration
	old    bool // by an instance of an older build
}

// server commits while it believes that it leads.
type server struct {
	name string
	term int // in which it believes that it leads; -1: none
}

// instance is a process of the fleet; a restart keeps the name and loses the leases.
type instance struct {
	name   string
	old    bool // of an older build: knows no leases and acknowledges no claim
	run    int
	wakes  time.Duration // when a freeze or a restart ends
	rate   float64       // of its clock
	leases *Leases
}

type event struct {
	at time.Duration
	do func()
}

// world is one database with its store, servers and instances.
type world struct {
	t                           *rapid.T
	rng                         *rand.Rand
	now                         time.Duration
	events                      []event // by time
	claim                       Claim   // in the store
	list                        []string
	servers                     []*server
	instances                   []*instance
	orders                      []order
	acknowledged                map[string]int
	calm, selfDemotion          bool // nothing is disturbed; former primaries stop a moment after their successors lead
	cuts                        map[[2]string]time.Duration
	reads, losses, disturbances int // in percent
}

func (w *world) after(d time.Duration, do func()) {
	e := event{w.now + d, do}
	k, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	w.events = slices.Insert(w.events, k, e)
}

func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) chance(percent int) bool { return w.rng.Intn(100) < percent }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d) + 1)) }

// delay is that of a message and of a wait at its receiver.
func (w *world) delay() time.Duration {
	switch {
	case w.calm || w.chance(70):
		return w.upTo(20 * ms)
	case w.chance(70):
		return w.upTo(500 * ms)
	}
	return w.upTo(6 * time.Second)
}

func (w *world) lost(i *instance, peer string) bool {
	cut := max(w.cuts[[2]string{i.name, peer}], w.cuts[[2]string{peer, i.name}])
	return !w.calm && (w.now < cut || w.chance(w.losses))
}

// clock is the clock of an instance, which a freeze doesn't stop.
func (w *world) clock(i *instance) time.Duration { return time.Duration(float64(w.now) * i.rate) }

// resume continues the work of one run of an instance once it is awake.
func (w *world) resume(i *instance, run int, do func()) {
	switch {
	case do == nil || i.run != run || run == 0:
	case w.now < i.wakes:
		w.after(i.wakes-w.now+w.upTo(20*ms), func() { w.resume(i, run, do) })
	default:
		do()
	}
}

// call executes a request of an instance at a server or at the store, possibly late; it returns what is done with the answer.
func (w *world) call(i *instance, peer string, execute func() func()) {
	run := i.run
	if w.lost(i, peer) {
		return
	}
	w.after(w.delay(), func() {
		if answer := execute(); !w.lost(i, peer) {
			w.after(w.delay(), func() { w.resume(i, run, answer) })
		}
	})
}

// ask is call with another instance as the peer, which may be frozen.
func (w *world) ask(i, peer *instance, execute func() func()) {
	run := i.run
	if i == peer || peer.old || w.lost(i, peer.name) {
		return
	}
	w.after(w.delay(), func() {
		w.resume(peer, peer.run, func() {
			answer := execute()
			w.after(w.delay(), func() { w.resume(i, run, answer) })
		})
	})
}

func (w *world) start(i *instance) {
	i.run++
	i.leases = &Leases{}
	w.resume(i, i.run, func() { w.join(i) })
}

// join enters an instance in the list unless it is listed. It doesn't join as of an earlier time, since the entry may be that of a
// registration without an answer, which was executed late.
func (w *world) join(i *instance) {
	joined := func() { i.leases.ConfirmListed(w.clock(i), w.clock(i)) }
	w.call(i, storeName, func() func() {
		if slices.Contains(w.list, i.name) {
			return joined
		}
		return func() {
			w.call(i, storeName, func() func() {
				if !slices.Contains(w.list, i.name) {
					w.list = append(w.list, i.name)
				}
				return joined
			})
		}
	})
}

func (w *world) read(i *instance, then func(Claim)) {
	sent := w.clock(i)
	w.call(i, storeName, func() func() {
		c, listed := w.claim, slices.Contains(w.list, i.name)
		return func() {
			if listed {
				i.leases.ConfirmListed(w.clock(i), sent)
			} else {
				i.leases.ConfirmUnlisted(sent)
			}
			i.leases.Adopt(database, c)
			i.leases.Confirm(sent)
			then(c)
		}
	})
}

func (w *world) readFrom(i, relay *instance) {
	sent := w.clock(i)
	w.ask(i, relay, func() func() {
		c := relay.leases.Claim(database)
		if !relay.leases.hasAsOf {
			return nil
		}
		age := w.clock(relay) - relay.leases.asOf
		return func() {
			i.leases.Adopt(database, c)
			i.leases.Confirm(sent - age)
		}
	})
}

func (w *world) mayUse(i *instance, s *server) (lead Lead, ok bool) {
	lead, ok = i.leases.Claim(database).LeadOf(s.name)
	return lead, ok && i.leases.Valid(w.clock(i))
}

// statements sends a write from each instance to each server that it may use.
func (w *world) statements() {
	for _, i := range w.instances {
		for _, s := range w.servers {
			w.resume(i, i.run, func() { w.statement(i, s) })
		}
	}
}

func (w *world) statement(i *instance, s *server) {
	lead, ok := w.mayUse(i, s)
	if i.old || !ok {
		return
	}
	w.call(i, s.name, func() func() {
		term, executed := s.term, w.now
		if term < 0 {
			return nil
		}
		return func() {
			if now, ok := w.mayUse(i, s); ok && now == lead {
				w.acknowledge(i, s, term, executed)
			}
		}
	})
}

// acknowledge checks the invariant. Orders of older instances, which withdraw no leases, can't keep it.
func (w *world) acknowledge(i *instance, s *server, term int, executed time.Duration) {
	w.acknowledged[s.name]++
	for _, o := range w.orders[term+1:] {
		if o.server != s.name && !o.old && o.at <= executed {
			w.t.Fatalf("%s: %s acknowledges what %s executed in term %d at %s, after %s was ordered at %s",
				w.now, i.name, s.name, term, executed, o.server, o.at)
		}
	}
}

func (w *world) write(i *instance, version uint64, c Claim, then func(Claim)) {
	w.call(i, storeName, func() func() {
		if w.claim.Version != version {
			return nil
		}
		c.Version = version + 1
		w.claim = c
		w.t.Logf("%s: claim %+v of %s", w.now, c, i.name)
		return func() {
			i.leases.Adopt(database, c)
			then(c)
		}
	})
}

// replace claims the lead for another server. While a promotion may still be ordered by a claim, the claim is left alone.
func (w *world) replace(i *instance, primary string, successor *server, handOver bool) {
	w.read(i, func(c Claim) {
		run, wait := i.run, time.Duration(0)
		if len(c.Former) == 0 && c.Version != 0 {
			wait = time.Duration(float64(failover.ClaimTerm) / i.rate)
		}
		w.after(wait, func() {
			w.resume(i, run, func() { w.claimLead(i, c, primary, successor, handOver) })
		})
	})
}

func (w *world) claimLead(i *instance, c Claim, primary string, successor *server, handOver bool) {
	// The server of the claim, or the first primary, is taken for the primary once it leads; others may be by mistake.
	if k := slices.IndexFunc(w.servers, func(s *server) bool { return s.name == primary }); k >= 0 && w.servers[k].term < 0 && primary == c.Server ||
		c.Version == 0 && primary != "s0" {
		primary = ""
	}
	w.stepDown(i, successor, func() { // else it would be used as soon as it is claimed
		sent := w.clock(i)
		if i.old {
			w.write(i, c.Version, Claim{Server: successor.name, Lead: Lead(c.Version + 1)}, func(Claim) { w.promote(i, successor, sent) })
			return
		}
		w.write(i, c.Version, c.Next(primary, successor.name, handOver), func(c Claim) { w.withdraw(i, c, successor) })
	})
}

func (w *world) stepDown(i *instance, s *server, confirmed func()) {
	w.call(i, s.name, func() func() {
		if !w.calm && w.chance(30) {
			return nil // busy
		}
		s.term = -1
		return confirmed
	})
}

func (w *world) withdraw(i *instance, c Claim, successor *server) {
	withdrawal := NewWithdrawal(c, w.clock(i))
	w.call(i, storeName, func() func() {
		others := slices.DeleteFunc(slices.Clone(w.list), func(n string) bool { return n == i.name })
		return func() {
			withdrawal.List(others)
			for _, peer := range w.instances {
				w.ask(i, peer, func() func() {
					peer.leases.Adopt(database, c)
					return func() { withdrawal.Acknowledge(peer.name) }
				})
			}
		}
	})
	w.awaitBasis(i, c, successor, withdrawal)
}

func (w *world) awaitBasis(i *instance, c Claim, successor *server, withdrawal *Withdrawal) {
	run, former := i.run, withdrawal.Former()
	if basis := withdrawal.Basis(w.clock(i)); basis != "" && !slices.Contains(former, c.HandOver) {
		w.t.Logf("%s: %s has withdrawn the former servers of claim %d: %s", w.now, i.name, c.Version, basis)
		sent := w.clock(i)
		w.write(i, c.Version, c.Withdrawn(), func(Claim) { w.promote(i, successor, sent) })
		return
	}
	for _, s := range w.servers {
		if slices.Contains(former, s.name) && w.chance(50) {
			w.stepDown(i, s, func() { withdrawal.StepDown(s.name) })
		}
	}
	if w.clock(i) < withdrawal.confirmedAt+3*WithdrawalTerm {
		w.after(100*ms+w.upTo(200*ms), func() {
			w.resume(i, run, func() { w.awaitBasis(i, c, successor, withdrawal) })
		})
	}
}

// promote orders a promotion unless its claim is too old. It takes effect soon or never: an order without an answer that the platform
// executes seconds later is out of scope.
func (w *world) promote(i *instance, s *server, claimed time.Duration) {
	if w.clock(i)-claimed > failover.OrderTerm {
		return
	}
	term := len(w.orders)
	w.orders = append(w.orders, order{s.name, w.now, i.old})
	w.t.Logf("%s: %s orders %s for term %d", w.now, i.name, s.name, term)
	if !w.calm && w.chance(10) {
		return
	}
	w.after(300*ms+w.upTo(80*ms), func() {
		s.term = term
		w.after(w.upTo(time.Second), func() {
			for _, former := range w.servers {
				if w.selfDemotion && former.term < term {
					former.term = -1
				}
			}
		})
	})
}

// disturb freezes, restarts or cuts off an instance.
func (w *world) disturb(i *instance) {
	end := w.now + w.upTo(7*time.Second)
	switch w.rng.Intn(3) {
	case 0:
		i.wakes = max(i.wakes, end)
	case 1:
		i.wakes = max(i.wakes, w.now+w.upTo(2*time.Second))
		if w.chance(30) { // its machine is replaced
			w.list = slices.DeleteFunc(w.list, func(n string) bool { return n == i.name })
		}
		w.start(i)
	default:
		isolated := w.chance(50) // from all but some servers
		for k, peer := range []string{"s0", "s1", "s2", storeName, "i0", "i1", "i2", "i3"} {
			if w.chance(50) || isolated && k > 2 {
				w.cuts[[2]string{i.name, peer}] = end
			}
		}
	}
}

// act lets one instance, or the clients of all, do something.
func (w *world) act() {
	i, peer := w.instances[w.rng.Intn(len(w.instances))], w.instances[w.rng.Intn(len(w.instances))]
	s := w.servers[w.rng.Intn(len(w.servers))]
	switch {
	case i.run == 0:
		w.start(i)
	case w.chance(w.disturbances):
		w.disturb(i)
	case w.chance(w.reads):
		w.resume(i, i.run, func() { w.read(i, func(Claim) {}) })
	case w.chance(w.reads):
		w.resume(i, i.run, func() { w.readFrom(i, peer) })
	case w.chance(5) && !i.leases.listed:
		w.resume(i, i.run, func() { w.join(i) })
	case w.chance(8):
		primary := w.orders[len(w.orders)-1].server
		if w.chance(50) {
			primary = []string{"", "s0", "s1", "s2"}[w.rng.Intn(4)]
		}
		if primary != s.name {
			w.resume(i, i.run, func() { w.replace(i, primary, s, w.chance(30)) })
		}
	default:
		w.statements()
	}
}

// work lets all instances read the claim and send writes for a time in which nothing is disturbed.
func (w *world) work(d time.Duration) {
	w.calm = true
	for end := w.now + d; w.now < end; w.advance(500 * ms) {
		for _, i := range w.instances {
			i.wakes = min(i.wakes, w.now)
			switch {
			case i.run == 0:
				w.start(i)
			case !i.leases.listed:
				w.join(i)
			}
			w.read(i, func(Claim) {})
		}
		w.statements()
	}
}

func newWorld(t *rapid.T) *world {
	// rapid prefers small numbers, so only the seed is drawn.
	hash := fnv.New64a()
	_, _ = hash.Write(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
	rng := rand.New(rand.NewSource(int64(hash.Sum64())))
	w := &world{
		t: t, rng: rng, cuts: map[[2]string]time.Duration{}, acknowledged: map[string]int{}, orders: []order{{server: "s0"}},
		servers:      []*server{{"s0", 0}, {"s1", -1}, {"s2", -1}},
		selfDemotion: rng.Intn(2) == 0, reads: 4 + rng.Intn(25), losses: rng.Intn(20), disturbances: rng.Intn(8),
	}
	mixed := w.chance(30)
	for k, name := range []string{"i0", "i1", "i2", "i3"}[:3+rng.Intn(2)] {
		i := &instance{name: name, leases: &Leases{}, old: mixed && k > 1, rate: 0.99 + 0.02*rng.Float64()}
		w.instances = append(w.instances, i)
		if w.chance(75) {
			w.list = append(w.list, name)
			w.start(i)
		}
	}
	return w
}

// Guards against two primaries whose answers are both acknowledged, whatever is late, lost, frozen, cut off or started anew, and
// against a database without a primary once all works again.
func TestNoAnswerOfFormerPrimaryIsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 250 {
			w.advance(w.upTo(150 * ms))
			w.act()
		}
		w.work(25 * time.Second) // until the last late messages have arrived
		successor := w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name != w.claim.Server })]
		w.replace(w.instances[0], w.claim.Server, successor, false)
		w.work(10 * time.Second)
		if w.claim.Server != successor.name || w.claim.Former != nil {
			t.Fatalf("the claim of %s isn't completed: %+v", successor.name, w.claim)
		}
		before := w.acknowledged[successor.name]
		w.work(5 * time.Second)
		if w.acknowledged[successor.name] == before {
			t.Fatalf("no write is acknowledged at %s", successor.name)
		}
	})
}
