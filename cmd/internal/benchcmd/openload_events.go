package benchcmd

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/openload"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// failureAction causes or ends a failure in a deployment.
type failureAction struct {
	apply func(d *platformlocal.Deployment) error
	// needsProcesses reports that the action requires instances that run as processes.
	needsProcesses bool
}

var failureActions = map[string]failureAction{
	"crash-primary": {apply: func(d *platformlocal.Deployment) error {
		d.CrashPrimary(d.DatabaseNames()[0])
		return nil
	}},
	"restart-primary": {apply: func(d *platformlocal.Deployment) error { return d.Recover(d.DatabaseNames()[0]) }},
	"silence-store":   {apply: func(d *platformlocal.Deployment) error { return d.Instances[0].StoreRelay.SetBlackhole(true) }},
	"restore-store":   {apply: func(d *platformlocal.Deployment) error { return d.Instances[0].StoreRelay.SetBlackhole(false) }},
	"kill-instance": {needsProcesses: true, apply: func(d *platformlocal.Deployment) error {
		d.Instances[0].Stop(syscall.SIGKILL)
		return nil
	}},
	"start-instance": {needsProcesses: true, apply: func(d *platformlocal.Deployment) error { return d.Instances[0].Start() }},
}

// failureEvent is a failure action at a time after the start of the run.
type failureEvent struct {
	at   time.Duration
	name string
}

// parseEvents parses events of the form TIME=NAME and sorts them by time.
func parseEvents(texts []string, duration time.Duration, hasProcesses bool) ([]failureEvent, error) {
	var out []failureEvent
	for _, text := range texts {
		at, name, _ := strings.Cut(text, "=")
		f, known := failureActions[name]
		if !known {
			return nil, errors.Newf("--event %q: the name is not known; see --help for the names", text)
		}
		if f.needsProcesses && !hasProcesses {
			return nil, errors.Newf("--event %q: it needs instances that are processes; give --binary", text)
		}
		d, err := time.ParseDuration(at)
		if err != nil || d < 0 || d >= duration {
			return nil, errors.Newf("--event %q: the time has to be one like 4s, before the end of the run", text)
		}
		out = append(out, failureEvent{d, name})
	}
	slices.SortStableFunc(out, func(a, b failureEvent) int { return int(a.at - b.at) })
	return out, nil
}

func eventMarks(events []failureEvent) []openload.EventMark {
	out := []openload.EventMark{}
	for _, e := range events {
		out = append(out, openload.EventMark{Second: e.at.Seconds(), Name: e.name})
	}
	return out
}

// eventRun runs events while a load runs.
type eventRun struct {
	done sync.WaitGroup
	err  error
}

func startEvents(ctx context.Context, d *platformlocal.Deployment, events []failureEvent) *eventRun {
	r := &eventRun{}
	start := time.Now()
	r.done.Go(func() {
		for _, e := range events {
			if !wait.For(ctx, time.Until(start.Add(e.at))) {
				return
			}
			if err := failureActions[e.name].apply(d); err != nil {
				r.err = errors.CombineErrors(r.err, errors.Wrapf(err, "event %s", e.name))
			}
		}
	})
	return r
}

// wait waits for the last event and returns the combined errors.
func (r *eventRun) wait() error {
	r.done.Wait()
	return r.err
}
