package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawSuccessor draws a valid manifest with a higher version than m. With reorder it may change the order
// of items. created counts the changes and makes the names of new items unique.
func drawSuccessor(t *rapid.T, m Manifest, reorder bool, created *int) Manifest {
	m = m.Clone()
	m.Version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		*created++
		i := rapid.IntRange(0, len(m.Accounts)-1).Draw(t, "account")
		switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); kind {
		case 0:
			m.Accounts[i].Rate++
		case 1:
			id := fmt.Sprint("k", *created)
			m.Accounts[i].Keys = append(m.Accounts[i].Keys, Key{ID: id, SHA256: HashKey(id).String()})
		case 2:
			name := fmt.Sprint("c", *created)
			m.Accounts = append(m.Accounts, Account{Name: name, Weight: 1, Rate: 1, Burst: 1})
		case 3:
			m.Databases[0].Servers[0].Slots++
		case 4:
			if m.Accounts[i].Name[0] == 'c' { // no route refers to it
				m.Accounts = slices.Delete(m.Accounts, i, i+1)
			}
		case 5:
			if reorder {
				m.Accounts[0], m.Accounts[i] = m.Accounts[i], m.Accounts[0]
			}
		}
	}
	return m
}

// Guards against deltas that lead to anything but the announced manifest. From any version in the history
// they must give exactly the last one; applied to a different manifest or corrupted they must fail.
func TestDeltasReproduceManifest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := mustSnapshot(t, testManifest(1))
		last, previous := first, []*Snapshot{}
		var history DeltaHistory
		created := 0
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			next := mustSnapshot(t, drawSuccessor(t, last.Manifest(), rapid.IntRange(0, 9).Draw(t, "moves") == 0, &created))
			history.Add(last, next)
			previous, last = append(previous, last), next
		}
		for _, s := range previous {
			deltas, ok := history.Between(s.Version(), last.Version())
			if !ok {
				continue
			}
			got, err := s.Apply(deltas)
			if err != nil || got.digest != last.digest || got.Version() != last.Version() {
				t.Fatalf("from version %d: %v", s.Version(), err)
			}
			checkRejected(t, s, last, deltas)
		}
		if _, ok := history.Between(previous[0].Version(), last.Version()+1); ok {
			t.Fatal("Between returns deltas to a version that is not in force")
		}
	})
}

// checkRejected applies the deltas to different content of the same version, and applies a corrupted delta.
func checkRejected(t *rapid.T, s, last *Snapshot, deltas [][]byte) {
	other := s.Manifest().Clone()
	other.Databases[0].Servers[1].Address = "10.9.9.9:1"
	if got, err := mustSnapshot(t, other).Apply(deltas); err == nil && got.digest != last.digest {
		t.Fatal("deltas were applied to a different manifest")
	}
	i := rapid.IntRange(0, len(deltas)-1).Draw(t, "damaged")
	corrupted := append([][]byte{}, deltas...)
	corrupted[i] = bytes.Clone(corrupted[i])
	corrupted[i][rapid.IntRange(0, len(corrupted[i])-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 6).Draw(t, "bit")
	if got, err := s.Apply(corrupted); err == nil && got.digest != last.digest {
		t.Fatalf("a corrupted delta was applied: %s", corrupted[i])
	}
}

// Guards against a history that grows without bound or claims to cover versions it has dropped.
func TestDeltaHistoryIsBounded(t *testing.T) {
	var history DeltaHistory
	last := mustSnapshot(t, testManifest(1))
	for v := uint64(2); v < 3*maxDeltas; v++ {
		next := mustSnapshot(t, testManifest(v))
		history.Add(last, next)
		last = next
	}
	if n := len(history.encoded); n != maxDeltas || history.encodedBytes > maxDeltaBytes {
		t.Errorf("history holds %d deltas with %d bytes, want the limits to apply", n, history.encodedBytes)
	}
	if _, ok := history.Between(1, last.Version()); ok {
		t.Error("Between returns deltas from version 1, which the history has dropped")
	}
	if _, err := last.Apply(nil); !errors.Is(err, ErrDeltaMismatch) {
		t.Errorf("Apply without deltas: %v, want ErrDeltaMismatch", err)
	}
}
