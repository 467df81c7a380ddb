package processtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
)

// Guards against a statement path that works only within one process, against stale reads through another
// instance, and against reads that mostly go to the primary while replicas lag.
func TestWholePath(t *testing.T) {
	const pairs, writes = 10, 100
	d := deploy(t, setup{lag: 2 * time.Millisecond, jitter: 5 * time.Millisecond})
	start := time.Now()
	recorded := make([][]history.Event, pairs)
	var running sync.WaitGroup
	for pair := range pairs {
		running.Go(func() { recorded[pair] = d.writeAndReadBack(pair, writes, start) })
	}
	running.Wait()
	var h history.History
	for _, events := range recorded {
		h.Events = append(h.Events, events...)
	}
	for _, v := range history.Check(h) {
		t.Errorf("violation: %s", v)
	}
	var replica, primary float64
	waitFor(t, "reads in the metrics", func() bool {
		replica, primary = d.servedCount(1, "replica"), d.servedCount(1, "primary_read")
		return replica+primary >= pairs*writes
	})
	t.Logf("%d writes in %s; reads: %.0f on replicas, %.0f on the primary", pairs*writes, time.Since(start).Round(time.Millisecond), replica, primary)
	if replica <= primary {
		t.Errorf("%.0f of %.0f reads on replicas, want more than half", replica, replica+primary)
	}
}

// writeAndReadBack writes through the first instance, reads each value through the second and returns the history.
func (d *deployment) writeAndReadBack(pair, writes int, start time.Time) []history.Event {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	writer, err := d.connect(ctx, 0, marshals)
	if err != nil {
		d.t.Error(err)
		return nil
	}
	defer func() { _ = writer.Close(ctx) }()
	reader, err := d.connect(ctx, 1, marshals)
	if err != nil {
		d.t.Error(err)
		return nil
	}
	defer func() { _ = reader.Close(ctx) }()
	var events []history.Event
	for i := range writes {
		value := fmt.Sprintf("%d.%d", pair, i)
		e := history.Event{Kind: history.WriteSent, At: time.Since(start), Session: fmt.Sprint(pair), Key: "path-" + value, Value: value}
		events = append(events, e)
		if _, err := writer.Exec(ctx, upsert, e.Key, value); err != nil {
			d.t.Errorf("write %s: %v", value, err)
			return events
		}
		e.Kind, e.At = history.WriteAcknowledged, time.Since(start)
		events = append(events, e)
		e.Kind, e.Sent = history.ReadReturned, time.Since(start)
		var got string
		if err := reader.QueryRow(ctx, selectKey, e.Key).Scan(&got); err != nil {
			d.t.Errorf("read %s: %v", value, err)
			return events
		}
		e.At, e.Values = time.Since(start), []string{got}
		events = append(events, e)
	}
	return events
}

// servedCount returns the number of statements of instance i with the metric label served="servedBy".
func (d *deployment) servedCount(i int, servedBy string) float64 {
	d.t.Helper()
	resp, err := http.Get("http://" + d.instances[i].ops + "/metrics")
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	var sum float64
	for _, m := range families["cyclamenstile_statements_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == "served" && label.GetValue() == servedBy {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}
