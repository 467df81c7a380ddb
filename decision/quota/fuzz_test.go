package quota

import (
	"testing"
	"time"
)

// FuzzAssignment guards against a stored object that crashes an instance or makes it use fractions
// of another holder.
func FuzzAssignment(f *testing.F) {
	f.Add([]byte(`{"tenants":[{"address":"a:1","fractions":"ff"},{"address":"b:1","fractions":"ff00","resting":"f00"}]}`))
	f.Add([]byte(`{"tenants":[{"address":"a:1","fractions":"1","resting":"ffff"}]}`))
	f.Add([]byte(`{"tenants":[{"address":"a:1","fractions":"1"},{"address":"a:1","fractions":"2"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAssignment(data)
		if err != nil {
			return
		}
		const now = time.Minute
		m := NewAssignmentManager("a:1", 0, false)
		m.Observe(now, a, 1)
		m.ConfirmCurrent(now, 0)
		usable, _ := m.Usable(now)
		for _, holding := range a.Holdings {
			if holding.Address != "a:1" && usable&holding.Fractions != 0 {
				t.Errorf("fractions %x are usable, but belong to %s", uint64(usable&holding.Fractions), holding.Address)
			}
		}
		next, changed := m.Plan(now, Members{Live: []string{"a:1", "b:1"}, Planner: true}, 0)
		if !changed {
			return
		}
		encoded, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeAssignment(encoded); err != nil {
			t.Errorf("planned assignment is invalid: %v", err)
		}
	})
}
