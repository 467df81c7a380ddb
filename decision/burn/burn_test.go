package burn

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

var (
	objective = Objective{Availability: 99.9, Latency: manifest.Duration(250 * time.Millisecond)}
	clerks    = Key{"clerks", "orders"}
)

type batch struct {
	at    time.Duration
	class Class
	n     int
}

func record(t *Tracker, k Key, batches []batch) {
	for _, b := range batches {
		for range b.n {
			t.Record(b.at, k, b.class)
		}
	}
}

// Guards against wrong burn rates, budgets and alarms: the meaning of the objective, which classes
// count as bad, and the expiry of events from their windows.
func TestReports(t *testing.T) {
	const day = 24 * time.Hour
	for name, c := range map[string]struct {
		batches []batch
		at      time.Duration
		rates   [windowCount]float64
		left    float64
		alarm   Alarm
	}{
		"all good": {
			batches: []batch{{0, Good, 1000}}, at: time.Minute, left: 1,
		},
		"exactly the objective": {
			batches: []batch{{0, Good, 999}, {0, Late, 1}}, at: time.Minute,
			rates: [windowCount]float64{1, 1, 1, 1}, left: 0,
		},
		"above the rate is not bad": {
			batches: []batch{{0, Good, 1000}, {0, OverRate, 5000}}, at: time.Minute, left: 1,
		},
		"one bad statement raises no alarm": {
			batches: []batch{{0, Good, 9}, {0, Unknown, 1}}, at: time.Minute,
			rates: [windowCount]float64{100, 100, 100, 100}, left: -99,
		},
		"every bad class spends the budget": {
			batches: []batch{{0, Good, 96}, {0, Unknown, 1}, {0, Late, 1}, {0, NotRun, 1}, {0, RefusedInsideRate, 1}}, at: 0,
			rates: [windowCount]float64{40, 40, 40, 40}, left: -39,
		},
		"fast burn": {
			batches: []batch{{0, Good, 95000}, {time.Hour, Good, 900}, {time.Hour, NotRun, 100}}, at: time.Hour,
			rates: [windowCount]float64{100, 100, 100.0 / 96, 100.0 / 96}, left: 1 - 100.0/96, alarm: FastBurn,
		},
		"no fast burn after it has ended": {
			batches: []batch{{0, Good, 49500}, {5 * time.Hour, NotRun, 20}, {5 * time.Hour, Good, 480}}, at: 5*time.Hour + 30*time.Minute,
			rates: [windowCount]float64{0, 40, 0.4, 0.4}, left: 0.6,
		},
		"overspent budget": {
			batches: []batch{{0, NotRun, 5}, {0, Good, 995}}, at: 0,
			rates: [windowCount]float64{5, 5, 5, 5}, left: -4, alarm: Exhausted,
		},
		"slow burn": {
			batches: []batch{{0, NotRun, 5}, {0, Good, 495}}, at: 30 * time.Minute,
			rates: [windowCount]float64{0, 10, 10, 10}, left: -9, alarm: SlowBurn,
		},
		"events expire from their windows": {
			batches: []batch{{0, NotRun, 10}, {20 * day, Good, 19990}}, at: 20 * day,
			rates: [windowCount]float64{0, 0, 0, 0.5}, left: 0.5,
		},
		"budget is restored after 30 days": {
			batches: []batch{{0, NotRun, 10}, {31 * day, Good, 10}}, at: 31 * day, left: 1,
		},
		"events of an idle series expire": {
			batches: []batch{{0, NotRun, 10}}, at: 31 * day, left: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(1)
			record(tracker, clerks, c.batches)
			s := tracker.Report(c.at, objective).Series[0]
			for w, want := range c.rates {
				if got := s.Windows[w].BurnRate; math.Abs(got-want) > 1e-9*max(1, want) {
					t.Errorf("burn rate of window %v is %v, want %v", Window(w), got, want)
				}
			}
			if math.Abs(s.BudgetLeft-c.left) > 1e-6 || s.Alarm != c.alarm {
				t.Errorf("budget left %v, alarm %q, want %v, %q", s.BudgetLeft, s.Alarm, c.left, c.alarm)
			}
		})
	}
}

// Guards against windows that drop events too early or keep them too long, by comparison with a model
// that keeps every event.
func TestWindowsMatchModel(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	tracker := NewTracker(1)
	var times []time.Duration
	now := time.Duration(0)
	for range 5000 {
		now += time.Duration(r.Int64N(int64(40 * time.Second)))
		if r.IntN(300) == 0 {
			now += time.Duration(r.Int64N(int64(10 * time.Hour)))
		}
		times = append(times, now)
		tracker.Record(now, clerks, Good)
		for w, report := range tracker.Report(now, objective).Series[0].Windows {
			length := Window(w).Length()
			var least, most uint64
			for _, at := range times {
				if at > now-length+length/bucketsPerWindow {
					least++
				}
				if at > now-length {
					most++
				}
			}
			if got := report.Counts.Good; got < least || got > most {
				t.Fatalf("at %v window %v holds %d events, want %d to %d", now, Window(w), got, least, most)
			}
		}
	}
}

// Guards against memory that grows with the number of accounts, and against events that are lost
// when the maximum number of series is reached.
func TestSeriesAreBounded(t *testing.T) {
	tracker := NewTracker(2)
	for _, account := range []string{"a", "b", "c", "d", "a"} {
		tracker.Record(0, Key{account, "orders"}, Good)
	}
	got := make(map[string]uint64)
	for _, s := range tracker.Report(0, objective).Series {
		got[s.Account] = s.Windows[OneHour].Counts.Good
	}
	if want := (map[string]uint64{"a": 2, "b": 1, Other: 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("counts %v, want %v", got, want)
	}
}

// Guards against a merged report that averages rates instead of adding up statements, and against a
// report that changes when it is encoded as JSON and decoded.
func TestMerge(t *testing.T) {
	whole := NewTracker(4)
	var parts []Report
	for i, batches := range [][]batch{{{0, Good, 990}, {0, Late, 10}}, {{0, Good, 100}, {0, OverRate, 7}}, {{0, Unknown, 6}}} {
		part := NewTracker(4)
		key := Key{"clerks", []string{"orders", "orders", "sheets"}[i]}
		record(part, key, batches)
		record(whole, key, batches)
		doc, err := json.Marshal(part.Report(time.Minute, objective))
		if err != nil {
			t.Fatal(err)
		}
		var decoded Report
		if err := json.Unmarshal(doc, &decoded); err != nil {
			t.Fatal(err)
		}
		if err := decoded.Validate(); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, decoded)
	}
	got, err := Merge(parts)
	if err != nil {
		t.Fatal(err)
	}
	want := whole.Report(time.Minute, objective)
	if !reflect.DeepEqual(got.Series, want.Series) || !got.Alarmed() {
		t.Errorf("merged\n%+v\nwant\n%+v", got.Series, want.Series)
	}
	parts[1].Objective.Latency = manifest.Duration(time.Second)
	if _, err := Merge(parts); err == nil {
		t.Error("Merge of reports with different objectives succeeded, want an error")
	}
	parts[0].Series[0].Windows = parts[0].Series[0].Windows[1:]
	if err := parts[0].Validate(); err == nil {
		t.Error("Validate accepts a report with a missing window, want an error")
	}
}
