package position

import "testing"

// Guards against a read being answered from a log that has lost the session's write.
func TestHistoryContains(t *testing.T) {
	h := History{{Term: 1, Start: 0}, {Term: 3, Start: 100}, {Term: 4, Start: 150}}
	cases := []struct {
		name string
		p    Position
		want bool
	}{
		{"zero", Position{}, true},
		{"at the start of a later term", Position{1, 100}, true},
		{"past the start of a later term", Position{1, 101}, false},
		{"in the middle term", Position{3, 150}, true},
		{"rewound in the middle term", Position{3, 151}, false},
		{"newest term", Position{4, 900}, true},
		{"term missing from the history", Position{2, 90}, false},
		{"term not reached yet", Position{5, 90}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := h.Contains(c.p); got != c.want {
				t.Errorf("Contains(%v) = %v, want %v", c.p, got, c.want)
			}
		})
	}
}

// Guards against a position of an older term with a higher LSN being chosen as the later one.
func TestMaxPrefersTheHigherTerm(t *testing.T) {
	got := Max(Position{2, 10}, Position{1, 90})
	if got != (Position{2, 10}) {
		t.Errorf("Max = %v, want 2/10", got)
	}
}
