package benchcmd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// gapAfterCrash and gapWorstCase are the design's targets of the gap in writes.
	gapAfterCrash = 3 * time.Second
	gapWorstCase  = 18 * time.Second
	// storeLead is how long the store is down before the primary crashes.
	storeLead = 300 * time.Millisecond
	// restartAfter is short against the time after which a crashed primary is replaced, so that
	// the server that crashes again is mostly still the primary.
	restartAfter = 300 * time.Millisecond
)

// cause is what ends the writes on a primary.
type cause struct {
	name  string
	limit time.Duration // of the gap in writes
	// inject acts on the primary, server i; heal ends the fault after the failover.
	inject, heal func(ctx context.Context, s *servers, i int) error
	// keeps tells that the primary may stay the primary of callers that reach it.
	keeps bool
}

// causes lists the causes of a failover.
func causes() []cause {
	return []cause{
		{name: "primary crashed", limit: gapAfterCrash, inject: killServer, heal: restartServer},
		{name: "cut off from instances", limit: gapWorstCase, inject: swallowServer, heal: releaseServer},
		{name: "cut off from peers", limit: gapWorstCase, inject: cutPeers, heal: joinPeers, keeps: true},
		{name: "paused, resumed later", limit: gapWorstCase, inject: pauseServer, heal: resumeServer},
		{name: "store down, then crashed", limit: gapAfterCrash, inject: storeDownAndKill, heal: storeUpAndRestart},
		{name: "crashed twice", limit: gapAfterCrash, inject: killTwice, heal: restartServer},
	}
}

func killServer(_ context.Context, s *servers, i int) error    { return s.kill(i) }
func restartServer(_ context.Context, s *servers, i int) error { return s.restart(i) }

// swallowServer cuts the way from the instances only; the first network is theirs.
func swallowServer(_ context.Context, s *servers, i int) error {
	return s.paths[0].swallow(s.address(i), true)
}

func releaseServer(_ context.Context, s *servers, i int) error {
	return s.paths[0].swallow(s.address(i), false)
}

func cutPeers(_ context.Context, s *servers, i int) error {
	s.group.CutPeers(i, true)
	return nil
}

func joinPeers(_ context.Context, s *servers, i int) error {
	s.group.CutPeers(i, false)
	return nil
}

func pauseServer(_ context.Context, s *servers, i int) error {
	s.group.Pause(i)
	return nil
}

func resumeServer(_ context.Context, s *servers, i int) error {
	s.group.Resume(i)
	return nil
}

func storeDownAndKill(ctx context.Context, s *servers, i int) error {
	if s.store != nil {
		s.store.SetUnavailable(true)
	}
	if err := pause(ctx, storeLead); err != nil {
		return err
	}
	return s.kill(i)
}

func storeUpAndRestart(_ context.Context, s *servers, i int) error {
	if s.store != nil {
		s.store.SetUnavailable(false)
	}
	return s.restart(i)
}

// killTwice crashes a server, starts it again and crashes it a second time once the group takes
// writes again.
func killTwice(ctx context.Context, s *servers, i int) error {
	if err := s.kill(i); err != nil {
		return err
	}
	if err := pause(ctx, restartAfter); err != nil {
		return err
	}
	if err := s.restart(i); err != nil {
		return err
	}
	if err := s.awaitWrites(ctx, writesSeen, func(int) bool { return true }); err != nil {
		return err
	}
	return s.kill(i)
}

// writesSeen is the number of log records that show that a primary takes writes.
const writesSeen = 20

// awaitWrites waits until a primary that fits has added so many log records.
func (s *servers) awaitWrites(ctx context.Context, records uint64, fits func(primary int) bool) error {
	watched, from := -1, uint64(0)
	for {
		i := s.group.Primary()
		if i >= 0 && fits(i) {
			lsn := s.group.Server(i).State().LSN
			if i != watched {
				watched, from = i, lsn
			}
			if lsn >= from+records {
				return nil
			}
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return errors.Wrap(err, "no primary takes writes")
		}
	}
}

// pause waits for d, or returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	wait.For(ctx, d)
	return ctx.Err()
}
