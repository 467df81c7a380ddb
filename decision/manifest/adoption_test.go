package manifest

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/contact"
)

func mustOffer(t *testing.T, a *Adoption, m Manifest) Withdrawals {
	t.Helper()
	adopted, withdrawn, err := a.Offer(m)
	if err != nil || !adopted {
		t.Fatalf("Offer of version %d = %v, %v, want adoption", m.Version, adopted, err)
	}
	return withdrawn
}

// Guards against a manifest that is reverted to an older version, adopted despite faults, or replaced by
// different content of the same version.
func TestOfferAdoptsOnlyHigherVersions(t *testing.T) {
	a := NewAdoption(AdoptionConfig{Self: "i1"})
	mustOffer(t, a, testManifest(5))
	if adopted, _, err := a.Offer(testManifest(4)); adopted || err != nil {
		t.Errorf("older version: %v, %v, want it ignored", adopted, err)
	}
	if adopted, _, err := a.Offer(testManifest(5)); adopted || err != nil {
		t.Errorf("same version and content: %v, %v, want it ignored", adopted, err)
	}
	other := testManifest(5)
	other.Accounts[0].Rate++
	if _, _, err := a.Offer(other); !errors.Is(err, ErrSameVersion) {
		t.Errorf("same version, different content: %v, want ErrSameVersion", err)
	}
	faulty := testManifest(6)
	faulty.Routes[1].Database = "none"
	var faults Faults
	if _, _, err := a.Offer(faulty); !errors.As(err, &faults) || a.Version() != 5 {
		t.Errorf("faulty manifest: %v, version %d, want Faults and version 5", err, a.Version())
	}
}

// Guards against withdrawals that Offer does not report.
func TestOfferReportsWithdrawals(t *testing.T) {
	a := NewAdoption(AdoptionConfig{Self: "i1"})
	first := testManifest(1)
	first.Accounts = append(first.Accounts, Account{Name: "c", Weight: 1, Rate: 1, Burst: 1})
	first.Routes[0].Accounts = []string{"a", "b", "c"}
	if w := mustOffer(t, a, first); !w.Empty() {
		t.Errorf("first adoption withdraws %+v, want nothing", w)
	}
	next := testManifest(2)
	next.Accounts[0].Keys[0].SHA256 = HashKey("replaced").String()
	next.Routes = next.Routes[:1]
	next.Routes[0].Accounts = []string{"a"}
	want := Withdrawals{
		Keys:     []KeyRef{{"a", "a-1"}},
		Accounts: []string{"c"},
		Routes:   []string{"public"},
		Rights:   []RouteAccount{{"orders", "b"}},
	}
	if got := mustOffer(t, a, next); !reflect.DeepEqual(got, want) {
		t.Errorf("withdrawals = %+v, want %+v", got, want)
	}
}

func instanceNames(n int) []string {
	ids := []string{"i1"}
	for i := range n - 1 {
		ids = append(ids, fmt.Sprint("p", i))
	}
	return ids
}

// evidenceOf returns the evidence that instance self holds at time now after a call to other that was sent earlier.
func evidenceOf(self, other string, sent, now time.Duration, listed ...string) contact.Evidence {
	own, its := contact.NewTracker(self), contact.NewTracker(other)
	own.SetMembers(members(listed...))
	its.SetMembers(members(listed...))
	own.RecordAnswer(sent, other, its.Evidence(sent, self, own.ListFingerprint()))
	return own.Evidence(now, "i1", own.ListFingerprint())
}

func members(ids ...string) []contact.Member {
	var list []contact.Member
	for _, id := range ids {
		list = append(list, contact.Member{ID: id})
	}
	return list
}

// Guards against an isolated instance that accepts withdrawn keys, and against an outage of only the
// store that stops keyed work.
func TestKeyedAllowed(t *testing.T) {
	const s = time.Second
	type step func(a *Adoption)
	store := func(at time.Duration, revision uint64) step {
		return func(a *Adoption) { a.StoreAnswered(at, revision) }
	}
	peer := func(at time.Duration, id string, version uint64) step {
		return func(a *Adoption) { a.PeerAnswered(at, PeerState{Instance: id, Version: version}) }
	}
	// viaPeer records an answer of instance a that reports a contact with b.
	viaPeer := func(at time.Duration, version uint64, ids ...string) step {
		return func(a *Adoption) {
			evidence := evidenceOf("a", "b", at-s, at, ids...)
			a.PeerAnswered(at, PeerState{Instance: "a", Version: version, Evidence: evidence})
		}
	}
	listed := func(ids ...string) step { return func(a *Adoption) { a.SetInstances(members(ids...)) } }
	cases := []struct {
		name  string
		steps []step
		now   time.Duration
		want  bool
	}{
		{"no contact", nil, 0, false},
		{"recent contact with the store", []step{store(10*s, 7)}, 15 * s, true},
		{"expired contact with the store", []step{store(10*s, 7)}, 15*s + 1, false},
		{"stale read of the store", []step{store(10*s, 7), store(14*s, 6)}, 16 * s, false},
		{"watch without change", []step{store(10*s, 7), store(14*s, 0)}, 16 * s, true},
		{"majority of five", []step{listed("i1", "a", "b", "c", "d"), peer(9*s, "a", 3), peer(10*s, "b", 3)}, 14 * s, true},
		{"majority of five, one expired", []step{listed("i1", "a", "b", "c", "d"), peer(9*s, "a", 3), peer(10*s, "b", 3)}, 15 * s, false},
		{"half of four", []step{listed("i1", "a", "b", "c"), peer(10*s, "a", 3)}, 11 * s, false},
		{"peer not listed", []step{listed("i1", "a", "b"), peer(10*s, "x", 3)}, 11 * s, false},
		{"peer no longer listed", []step{listed("i1", "a"), peer(10*s, "a", 3), listed("i1", "b"), listed("i1", "a")}, 11 * s, false},
		{"peer with a newer manifest", []step{listed("i1", "a"), peer(10*s, "a", 4)}, 11 * s, false},
		{"majority through a peer's contacts", []step{listed("i1", "a", "b", "c", "d"), viaPeer(10*s, 3, "i1", "a", "b", "c", "d")}, 14 * s, true},
		{"majority through a peer's contacts, expired", []step{listed("i1", "a", "b", "c", "d"), viaPeer(10*s, 3, "i1", "a", "b", "c", "d")}, 14*s + 1, false},
		{"majority through contacts of a peer with a newer manifest", []step{listed("i1", "a", "b", "c", "d"), viaPeer(10*s, 4, "i1", "a", "b", "c", "d")}, 11 * s, false},
		{"many listed, doubled timeout", []step{listed(instanceNames(257)...), store(10*s, 7)}, 20 * s, true},
		{"many listed, expired contact", []step{listed(instanceNames(257)...), store(10*s, 7)}, 20*s + 1, false},
		{"only instance listed", []step{listed("i1")}, 1 * s, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := NewAdoption(AdoptionConfig{Self: "i1"})
			mustOffer(t, a, testManifest(3))
			for _, step := range c.steps {
				step(a)
			}
			if got := a.KeyedAllowed(c.now); got != c.want {
				t.Errorf("KeyedAllowed(%s) = %v, want %v", c.now, got, c.want)
			}
		})
	}
	empty := NewAdoption(AdoptionConfig{Self: "i1"})
	empty.StoreAnswered(10*s, 0)
	if empty.KeyedAllowed(10 * s) {
		t.Error("keyed work is allowed without a manifest")
	}
}

// Guards against a ConfirmedAge that leaves out the age of the peer's own confirmation.
func TestConfirmedAgeThroughPeer(t *testing.T) {
	const s = time.Second
	a := NewAdoption(AdoptionConfig{Self: "i1"})
	mustOffer(t, a, testManifest(3))
	if _, ok := a.ConfirmedAge(s); ok {
		t.Error("ConfirmedAge is known before any contact")
	}
	a.StoreAnswered(10*s, 7)
	a.PeerAnswered(30*s, PeerState{Instance: "a", Version: 3, Confirmed: true, ConfirmedAge: 4 * s})
	a.PeerAnswered(40*s, PeerState{Instance: "b", Version: 3})
	a.PeerAnswered(40*s, PeerState{Instance: "c", Version: 2, Confirmed: true})
	if age, ok := a.ConfirmedAge(40 * s); !ok || age != 14*s {
		t.Errorf("ConfirmedAge = %s, %v, want 14s", age, ok)
	}
}

// model is a store with its history, operators that write to it concurrently, and instances that adopt
// manifests from it.
type model struct {
	history     []Manifest // every stored manifest, oldest first; the last one is current
	instances   []*Adoption
	floor       []uint64          // per instance: highest version in force since its restart
	withdrawnBy map[string]uint64 // version that withdrew a key, by the key's hash
	keyCount    int               // number of keys created, for unique ids
	pending     []pendingChange   // prepared documents that are not applied yet
}

type pendingChange struct {
	doc       Manifest
	ifVersion uint64
	withdraws string
}

func (m *model) stored() Manifest {
	return m.history[len(m.history)-1]
}

func (m *model) prepare(t *rapid.T) {
	base := m.stored().Clone()
	change := pendingChange{ifVersion: base.Version}
	base.Version += uint64(rapid.IntRange(0, 2).Draw(t, "step"))
	account := &base.Accounts[rapid.IntRange(0, 1).Draw(t, "account")]
	if len(account.Keys) > 0 && rapid.Bool().Draw(t, "withdraw") {
		change.withdraws = account.Keys[0].SHA256
		account.Keys = account.Keys[1:]
	} else {
		m.keyCount++
		id := fmt.Sprintf("k%d", m.keyCount)
		account.Keys = append(account.Keys, Key{ID: id, SHA256: HashKey(id).String()})
	}
	change.doc = base
	m.pending = append(m.pending, change)
}

// apply is an operator's conditional put. After a lost answer the document stays pending, so that the
// operator may apply it again.
func (m *model) apply(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("nothing to apply")
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "document")
	p := m.pending[i]
	lost := rapid.Bool().Draw(t, "lost answer")
	if !lost {
		m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
	}
	if CheckSuccessor(m.stored().Version, p.doc.Version, p.ifVersion) != nil {
		return
	}
	m.history = append(m.history, p.doc)
	if p.withdraws != "" {
		m.withdrawnBy[p.withdraws] = p.doc.Version
	}
}

func (m *model) instance(t *rapid.T) int {
	return rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
}

func (m *model) offer(t *rapid.T, i int, doc Manifest) {
	if _, _, err := m.instances[i].Offer(doc); err != nil {
		t.Fatalf("instance %d, version %d: %v", i, doc.Version, err)
	}
}

// read models a possibly stale read of the store: it offers any manifest that was ever stored.
func (m *model) read(t *rapid.T) {
	doc := m.history[rapid.IntRange(0, len(m.history)-1).Draw(t, "revision")]
	m.offer(t, m.instance(t), doc)
}

func (m *model) fetchFromPeer(t *rapid.T) {
	to, from := m.instance(t), m.instance(t)
	if m.instances[from].Current() == nil {
		t.Skip("peer has no manifest")
	}
	m.offer(t, to, m.instances[from].Current().Manifest())
}

func (m *model) restart(t *rapid.T) {
	i := m.instance(t)
	m.instances[i] = NewAdoption(AdoptionConfig{Self: fmt.Sprint(i)})
	m.floor[i] = 0
}

func (m *model) check(t *rapid.T) {
	for i, a := range m.instances {
		if a.Version() < m.floor[i] {
			t.Fatalf("instance %d went from version %d back to %d", i, m.floor[i], a.Version())
		}
		m.floor[i] = a.Version()
		m.checkKeys(t, i, a)
	}
}

func (m *model) checkKeys(t *rapid.T, i int, a *Adoption) {
	if a.Current() == nil {
		return
	}
	for hexHash, version := range m.withdrawnBy {
		hash := decodeHashes([]Key{{SHA256: hexHash}})[0]
		for _, account := range []string{"a", "b"} {
			_, refusal := a.Current().Authorize("orders", account, hash)
			if refusal == Granted && a.Version() >= version {
				t.Fatalf("instance %d at version %d accepts a key withdrawn by version %d", i, a.Version(), version)
			}
		}
	}
}

// Guards against a version that decreases, and against a withdrawn key that is accepted after
// adoption, with stale reads, restarts, lost answers, peers that lag behind and concurrent operators.
func TestAdoptionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{history: []Manifest{testManifest(1)}, withdrawnBy: map[string]uint64{}, floor: make([]uint64, 3)}
		for i := range m.floor {
			m.instances = append(m.instances, NewAdoption(AdoptionConfig{Self: fmt.Sprint(i)}))
		}
		t.Repeat(map[string]func(*rapid.T){
			"prepare": m.prepare,
			"apply":   m.apply,
			"read":    m.read,
			"fetch":   m.fetchFromPeer,
			"restart": m.restart,
			"":        m.check,
		})
	})
}
