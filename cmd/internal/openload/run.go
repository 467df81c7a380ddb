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
	// maxInFlight limits the operations in flight, and so the memory used, while a deployment doesn't answer.
	// Operations beyond the limit are counted as not offered.
	maxInFlight = 8192
	// maxIdleSessions limits the idle sessions per kind and database.
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

func (c Config) validate() error {
	if len(c.Addresses) == 0 || len(c.Databases) == 0 || len(c.Sheet.Kinds) == 0 {
		return errors.New("a load needs instances, databases and kinds of operations; name at least one of each")
	}
	return nil
}

// Run sends the operations of the sheet for c.Duration or until ctx is canceled, and waits for those in flight.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	r := &runner{cfg: c, recorder: newRecorder(c), slots: make(chan struct{}, maxInFlight), idle: map[poolKey][]*lineclient.Session{}}
	var generators sync.WaitGroup
	for i, kind := range c.Sheet.Kinds {
		random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		generators.Go(func() { r.generate(ctx, kind, random) })
	}
	generators.Wait()
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
	operationCount uint64
}

// generate starts operations of a kind as a Poisson process with its rate, independently of their results.
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
