package session

import (
	"testing"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Guards against a read that misses a write of its own session.
func TestFloorNeverFalls(t *testing.T) {
	s := New("sheets", manifest.ScopeAny)
	s.WriteConfirmed(position.Position{Term: 2, LSN: 10})
	s.WriteConfirmed(position.Position{Term: 2, LSN: 7})
	if err := s.AcceptToken("cyc1:sheets:1/99"); err != nil {
		t.Fatal(err)
	}
	if got := s.ReadRequirement().Floor; got != (position.Position{Term: 2, LSN: 10}) {
		t.Errorf("floor = %v, want 2/10", got)
	}
}

// Guards against a session without a token missing writes made on other connections of the client.
func TestSampling(t *testing.T) {
	anyScope := New("sheets", manifest.ScopeAny)
	anyScope.ServerChosen(1, position.Position{Term: 1, LSN: 5})
	if !anyScope.ReadRequirement().Sample {
		t.Error("scope any: the next read needs no sample, want a sample for each read")
	}
	connection := New("sheets", manifest.ScopeConnection)
	connection.ServerChosen(1, position.Position{})
	if !connection.ReadRequirement().Sample {
		t.Error("scope connection: no sample is needed although none is known yet")
	}
	connection.ServerChosen(1, position.Position{Term: 1, LSN: 5})
	if requirement := connection.ReadRequirement(); requirement.Sample || requirement.Floor.LSN != 5 {
		t.Errorf("scope connection: read requirement is %+v after the sample, want floor 1/5 and no sample", requirement)
	}
	if err := anyScope.AcceptToken("cyc1:sheets:1/7"); err != nil || anyScope.ReadRequirement().Sample {
		t.Errorf("a session with a token still needs a sample, or the token was not accepted (error %v)", err)
	}
}

// Guards against a forged token that makes all later reads of its session fail.
func TestRejectedTokenRestoresTheFloor(t *testing.T) {
	s := New("sheets", manifest.ScopeAny)
	s.WriteConfirmed(position.Position{Term: 1, LSN: 4})
	_ = s.AcceptToken("cyc1:sheets:9/9")
	if !s.RejectToken() || s.ReadRequirement().Floor.LSN != 4 {
		t.Errorf("floor = %v after the token was rejected, want 1/4", s.ReadRequirement().Floor)
	}
	if s.RejectToken() {
		t.Error("RejectToken returned true without an unproven token")
	}
}

// Guards against a lost write that is hidden by a write in the next term or reported twice.
func TestLostWrite(t *testing.T) {
	s := New("sheets", manifest.ScopeAny)
	s.WriteConfirmed(position.Position{Term: 1, LSN: 100})
	if !s.NeedsFloorCheck(2) || s.NeedsFloorCheck(1) {
		t.Error("want a floor check before a write in term 2 and none in term 1")
	}
	if e := s.ReportLostWrite(); e.Kind != outcome.LostWrite {
		t.Errorf("error kind is %v, want lost_write", e.Kind)
	}
	if s.NeedsFloorCheck(2) || !s.ReadRequirement().Floor.IsZero() {
		t.Error("the floor was not reset after the loss was reported")
	}
}

// Guards against accepting malformed tokens and tokens of other databases.
func TestParseTokenRefuses(t *testing.T) {
	for _, text := range []string{"", "cyc1", "cyc1:sheets", "cyc2:sheets:1/2", "cyc1:other:1/2",
		"cyc1:sheets:1/", "cyc1:sheets:+1/2", "cyc1:sheets:01/2", "cyc1:sheets:1/2/3",
		"cyc1:sheets:1/99999999999999999999"} {
		if p, err := ParseToken("sheets", text); !outcome.Is(err, outcome.Invalid) {
			t.Errorf("ParseToken(%q) = %v, %v; want an error of kind invalid", text, p, err)
		}
	}
}

// Guards against a token that is parsed as a different position than it was formatted from, and
// against panics on arbitrary text.
func FuzzParseToken(f *testing.F) {
	for _, s := range []string{"cyc1:db:1/2", "cyc1:a:b:3/4", "cyc1::0/0", "::/", "cyc1:db:1/-2"} {
		f.Add("db", s)
		f.Add("a:b", s)
	}
	f.Fuzz(func(t *testing.T, database, text string) {
		p, err := ParseToken(database, text)
		if err == nil && FormatToken(database, p) != text {
			t.Errorf("token %q was parsed as %v, which has a different token", text, p)
		}
	})
}
