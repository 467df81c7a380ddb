package openload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// maxInFlight bounds the operations under way, so that a deployment that answers nothing doesn't take all
	// memory. Operations beyond it are counted as not offered.
	maxInFlight = 8192
	// maxIdleSessions bounds the idle sessions that are kept for a kind and database.
	maxIdleSessions = 64
)

// Config describes a run.
type Config struct {
	Addresses []string // of the instances
	Databases []string
	Key       string
	Sheet     Sheet
	Duration  time.Duration
	Seed      uint64
}

// validate reports what is missing.
func (c Config) validate() error {
	if len(c.Addresses) == 0 || len(c.Databases) == 0 || len(c.Sheet.Kinds) == 0 {
		return errors.New("a load needs instances, databases and kinds of operations; name at least one of each")
	}
	return nil
}

// Run offers the operations of the sheet until its duration is over or ctx ends, and waits for those under way.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	r := &runner{cfg: c, recorder: newRecorder(c), slots: make(chan struct{}, maxInFlight), idle: map[poolKey][]*lineclient.Session{}}
	var kinds sync.WaitGroup
	for i, kind := range c.Sheet.Kinds {
		random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		kinds.Go(func() { r.generate(ctx, kind, random) })
	}
	kinds.Wait()
	r.inFlight.Wait()
	r.closeIdle()
	return r.recorder.result(), nil
}

type runner struct {
	cfg      Config
	recorder *recorder
	slots    chan struct{}
	inFlight sync.WaitGroup

	mu             sync.Mutex
	idle           map[poolKey][]*lineclient.Session
	operationCount uint64 // of operations
}

// generate starts operations of a kind at random times, on average at its rate, whatever becomes of them.
func (r *runner) generate(ctx context.Context, kind Kind, random *rand.Rand) {
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / kind.Rate * float64(time.Second)))
		if !wait.For(ctx, time.Until(due)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.recorder.recordNotOffered(kind.Name, due)
			continue
		}
		o := r.newOperation(kind, due, random)
		r.inFlight.Go(func() {
			defer func() { <-r.slots }()
			r.recorder.recordFinished(o, o.run())
		})
	}
}
