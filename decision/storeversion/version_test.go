package storeversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against versions of a restored store that look older than those from before, because its revisions go back.
func TestVersionsRiseWhenStoreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, MaxEra-1).Draw(t, "era")
		before := rapid.Uint64Range(1, MaxRevision).Draw(t, "before")
		after := rapid.Uint64Range(1, MaxRevision).Draw(t, "after")
		older, err := New(era, before)
		if err != nil {
			t.Fatal(err)
		}
		newer, err := New(era+1, after)
		if err != nil {
			t.Fatal(err)
		}
		if newer <= older || Era(newer) != era+1 || Revision(newer) != after {
			t.Fatalf("version %d of era %d, revision %d is not above %d", newer, Era(newer), Revision(newer), older)
		}
	})
	if v, err := New(7, 0); v != 0 || err != nil {
		t.Errorf("an absent object has version %d (%v), want 0", v, err)
	}
	if v, _ := New(0, 412); v != 412 {
		t.Errorf("version %d without eras, want the revision", v)
	}
	for _, high := range [][2]uint64{{0, MaxRevision + 1}, {MaxEra + 1, 1}} {
		if _, err := New(high[0], high[1]); err == nil {
			t.Errorf("era %d, revision %d is accepted, want an error", high[0], high[1])
		}
	}
}

// Guards against a process that acts on a lost write because it takes a restored store for one that it knows.
func TestTrackerNoticesStoreRestored(t *testing.T) {
	const term = 2 * time.Second
	var tr Tracker
	if tr.SettledFor(time.Hour, term) {
		t.Error("settled before the first contact")
	}
	if tr.Learn(time.Second, 4) || tr.SettledFor(2*time.Second, term) || !tr.SettledFor(3*time.Second, term) {
		t.Error("the first era counts as a restore, or as settled too early")
	}
	if tr.Learn(4*time.Second, 3) || tr.Era() != 4 {
		t.Error("a late answer of an earlier era is taken for a restore")
	}
	if !tr.Learn(5*time.Second, 6) || tr.SettledFor(5*time.Second, term) || tr.Restores() != 1 {
		t.Error("a restore is not noticed")
	}
	var none Tracker
	none.Learn(0, 0)
	if !none.SettledFor(0, term) {
		t.Error("a store without eras does not count as settled")
	}
}
