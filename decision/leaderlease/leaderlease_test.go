package leaderlease

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

func TestAllows(t *testing.T) {
	handOver := Claim{Version: 1, Server: "b", Former: []string{"a"}, HandOver: "a"}
	withdrawn := handOver.Withdrawn()
	withdrawn.Version = 2
	for name, c := range map[string]struct {
		claim   Claim
		allowed string
	}{
		"no claim":    {Claim{}, "abc"},
		"replacement": {Claim{Version: 1, Server: "b", Former: []string{"a"}}, "b"},
		"hand-over":   {handOver, "ab"},
		"withdrawn":   {withdrawn, "b"},
		"older build": {Claim{Version: 1, Server: "b"}, "b"},
	} {
		for _, server := range []string{"a", "b", "c"} {
			if c.claim.Allows(server) != strings.Contains(c.allowed, server) {
				t.Errorf("%s: %s", name, server)
			}
		}
		if c.claim.Version != 0 && c.claim.Allows("") {
			t.Errorf("%s: no server", name)
		}
	}
}

// Guards against a former server that is forgotten, unused ones that are allowed again, and promotions that go on although a server in
// use may be missing from the claim.
func TestNext(t *testing.T) {
	withdrawn := Claim{Version: 5, Server: "a"}
	pending := Claim{Version: 5, Server: "b", Former: []string{"a"}, FormerKnown: true}
	for name, c := range map[string]struct {
		claim       Claim
		primary     string
		handOver    bool
		former      []string
		formerKnown bool
		leads       string // HandOver
	}{
		"no claim, no primary":          {Claim{}, "", false, nil, false, ""},
		"no claim, first primary":       {Claim{}, "a", false, []string{"a"}, true, ""},
		"withdrawn":                     {withdrawn, "a", false, []string{"a"}, true, ""},
		"withdrawn, no primary":         {withdrawn, "", false, []string{"a"}, false, ""},
		"withdrawn, wrong primary":      {withdrawn, "b", false, []string{"a", "b"}, false, ""},
		"hand-over":                     {withdrawn, "a", true, []string{"a"}, true, "a"},
		"hand-over of an unused server": {withdrawn, "b", true, []string{"a", "b"}, false, ""},
		"not carried out":               {pending, "a", false, []string{"b", "a"}, true, ""},
		"hand-over not carried out":     {Claim{Version: 5, Server: "b", HandOver: "a", Former: []string{"a"}, FormerKnown: true}, "", false, []string{"b", "a"}, true, ""},
	} {
		next := c.claim.Next(c.primary, "c", c.handOver)
		if next.Version != 0 || next.Server != "c" || !reflect.DeepEqual(next.Former, c.former) || next.FormerKnown != c.formerKnown || next.HandOver != c.leads {
			t.Errorf("%s: %+v", name, next)
		}
	}
	if again := pending.Next("a", "a", false); !reflect.DeepEqual(again.Former, []string{"b"}) {
		t.Errorf("the successor is one of its former servers: %+v", again)
	}
}

func TestAdopt(t *testing.T) {
	var l Leases
	var newer []bool
	for _, version := range []uint64{0, 2, 2, 1} {
		newer = append(newer, l.Adopt("db", Claim{Version: version}))
	}
	if !slices.Equal(newer, []bool{false, true, false, false}) || l.Claim("db").Version != 2 || l.Claim("other").Version != 0 {
		t.Errorf("adopted: %t; versions %d and %d", newer, l.Claim("db").Version, l.Claim("other").Version)
	}
}

func TestValid(t *testing.T) {
	const joined, asOf, term = 10 * time.Second, 12 * time.Second, Term
	for name, c := range map[string]struct {
		asOf  []time.Duration
		now   time.Duration
		valid bool
	}{
		"recent":             {[]time.Duration{asOf}, asOf, true},
		"last moment":        {[]time.Duration{asOf}, asOf + term - 1, true},
		"too old":            {[]time.Duration{asOf}, asOf + term, false},
		"an older one later": {[]time.Duration{asOf, joined}, asOf + term - 1, true},
		"as of the join":     {[]time.Duration{joined}, joined, true},
		"before the join":    {[]time.Duration{joined - 1}, joined, false},
		"none":               {nil, joined, false},
	} {
		var l Leases
		for _, asOf := range c.asOf {
			l.Confirm(asOf)
		}
		if l.Valid(c.now) {
			t.Errorf("%s: valid before the join", name)
		}
		l.ConfirmListed(joined, joined)
		if l.Valid(c.now) != c.valid {
			t.Errorf("%s: not %t", name, c.valid)
		}
	}
}

// Guards against leases of an instance that was taken off the list, or can't know, and of one that relies on evidence from before it
// was listed again.
func TestListed(t *testing.T) {
	const joined = 10 * time.Second
	var l Leases
	at := func(now time.Duration) bool {
		l.Confirm(now)
		return l.Valid(now)
	}
	l.ConfirmListed(joined, joined)
	l.ConfirmUnlisted(joined - 1) // from before
	if !at(joined+ListedTerm-1) || at(joined+ListedTerm) {
		t.Error("evidence of the list must count for ListedTerm")
	}
	l.ConfirmUnlisted(joined + 1)
	if at(joined + 2) {
		t.Error("valid without an entry")
	}
	again := joined + ListedTerm + time.Second
	l.ConfirmListed(again, again-1)
	if l.Valid(again) || !at(again) {
		t.Error("only evidence since the instance was listed again must count")
	}
}

func TestBasis(t *testing.T) {
	const confirmed = 10 * time.Second
	claim := Claim{Former: []string{"a", "b"}, FormerKnown: true}
	for name, c := range map[string]struct {
		claim                     Claim
		steppedDown, list, silent []string
		age                       time.Duration
		basis                     Basis
	}{
		"one has stepped down":  {claim, []string{"a"}, nil, nil, 0, ""},
		"all have stepped down": {claim, []string{"a", "b", "c"}, nil, nil, 0, SteppedDown},
		"no former server":      {Claim{FormerKnown: true}, nil, nil, nil, 0, SteppedDown},
		"some may be missing":   {Claim{Former: []string{"a"}}, []string{"a"}, nil, nil, 0, ""},
		"older build":           {Claim{}, nil, nil, nil, 0, ""},
		"one is silent":         {claim, nil, []string{"i", "j"}, []string{"j"}, 0, ""},
		"all have acknowledged": {claim, nil, []string{"i", "j"}, nil, 0, Acknowledged},
		"no other instance":     {claim, nil, []string{}, nil, 0, Acknowledged},
		"last moment":           {claim, nil, []string{"i"}, []string{"i"}, WithdrawalTerm - 1, ""},
		"term":                  {claim, nil, []string{"i"}, []string{"i"}, WithdrawalTerm, TermPassed},
		"list not read":         {Claim{}, nil, nil, nil, WithdrawalTerm, TermPassed},
	} {
		w := NewWithdrawal(c.claim, confirmed)
		if c.list != nil {
			w.List(c.list)
		}
		for _, i := range c.list {
			if !slices.Contains(c.silent, i) {
				w.Acknowledge(i)
			}
		}
		for _, s := range c.steppedDown {
			w.StepDown(s)
		}
		now := confirmed + c.age
		if got := w.Basis(now); got != c.basis || !slices.Equal(w.Silent(), c.silent) || w.Remaining(now) != WithdrawalTerm-c.age {
			t.Errorf("%s: basis %q, silent %q", name, got, w.Silent())
		}
	}
}

// Guards against a repeated order of a server that has lost a part of its log since it was checked, at an instance that hasn't seen why.
func TestShorterLogIsNotVerified(t *testing.T) {
	checked := position.Position{Term: 2, LSN: 7}
	withdrawn := Claim{Version: 3, Server: "b", FormerKnown: true, Received: checked}
	pending, answered, unknown := withdrawn, withdrawn.Confirmed(), withdrawn
	pending.Former, unknown.Received = []string{"a"}, position.Position{}
	answered.Version = 4
	for name, c := range map[string]struct {
		claim    Claim
		received position.Position
		want     bool
	}{
		"as long":              {withdrawn, checked, true},
		"longer":               {withdrawn, position.Position{Term: 3, LSN: 7}, true},
		"shorter":              {withdrawn, position.Position{Term: 2, LSN: 6}, false},
		"not withdrawn":        {pending, checked, false},
		"answered":             {answered, checked, false},
		"position isn't known": {unknown, checked, false},
	} {
		if got := c.claim.HasVerified(c.received); got != c.want {
			t.Errorf("%s: verified is %t, want %t", name, got, c.want)
		}
	}
}
