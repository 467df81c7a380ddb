package benchcmd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// maxGapAfterCrash and maxGapWorstCase are the design targets for the gap in writes.
	maxGapAfterCrash = 3 * time.Second
	maxGapWorstCase  = 18 * time.Second
	// storeOutageLead is how long the store is down before the primary crashes.
	storeOutageLead = 300 * time.Millisecond
	// restartDelay is much shorter than the time until a crashed primary is replaced, so that the
	// server that crashes again is usually still the primary.
	restartDelay = 300 * time.Millisecond
)

// cause is a fault that stops the writes on a primary.
type cause struct {
	name  string
	limit time.Duration // for the gap in writes
	// inject causes the fault on server i, the primary; heal ends it after the failover.
	inject, heal func(ctx context.Context, s *servers, i int) error
	// mayStayPrimary reports that callers that reach the primary may keep using it.
	mayStayPrimary bool
}

// causes returns the causes of a failover.
func causes() []cause {
	return []cause{
		{name: "primary crashed", limit: maxGapAfterCrash, inject: killServer, heal: restartServer},
		{name: "cut off from instances", limit: maxGapWorstCase, inject: blackholeServer, heal: reconnectServer},
		{name: "cut off from peers", limit: maxGapWorstCase, inject: cutPeers, heal: reconnectPeers, mayStayPrimary: true},
		{name: "paused, resumed later", limit: maxGapWorstCase, inject: pauseServer, heal: resumeServer},
		{name: "store down, then crashed", limit: maxGapAfterCrash, inject: storeDownAndKill, heal: storeUpAndRestart},
		{name: "crashed twice", limit: maxGapAfterCrash, inject: killTwice, heal: restartServer},
	}
}

func killServer(_ context.Context, s *servers, i int) error    { return s.kill(i) }
func restartServer(_ context.Context, s *servers, i int) error { return s.restart(i) }

// blackholeServer drops the traffic from the instances only, whose network is the first one.
func blackholeServer(_ context.Context, s *servers, i int) error {
	return s.networks[0].setBlackholed(s.address(i), true)
}

func reconnectServer(_ context.Context, s *servers, i int) error {
	return s.networks[0].setBlackholed(s.address(i), false)
}

func cutPeers(_ context.Context, s *servers, i int) error {
	s.group.CutPeers(i, true)
	return nil
}

func reconnectPeers(_ context.Context, s *servers, i int) error {
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
	if err := sleep(ctx, storeOutageLead); err != nil {
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

// killTwice crashes a server, restarts it and crashes it a second time once the group accepts writes
// again.
func killTwice(ctx context.Context, s *servers, i int) error {
	if err := s.kill(i); err != nil {
		return err
	}
	if err := sleep(ctx, restartDelay); err != nil {
		return err
	}
	if err := s.restart(i); err != nil {
		return err
	}
	if err := s.awaitWrites(ctx, requiredRecords, func(int) bool { return true }); err != nil {
		return err
	}
	return s.kill(i)
}

// requiredRecords is the number of new log records that prove that a primary accepts writes.
const requiredRecords = 20

// awaitWrites waits until a primary that accepts returns true for has appended the given number of
// log records.
func (s *servers) awaitWrites(ctx context.Context, records uint64, accepts func(primary int) bool) error {
	watched, from := -1, uint64(0)
	for {
		i := s.group.Primary()
		if i >= 0 && accepts(i) {
			lsn := s.group.Server(i).State().LSN
			if i != watched {
				watched, from = i, lsn
			}
			if lsn >= from+records {
				return nil
			}
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return errors.Wrap(err, "no primary accepts writes")
		}
	}
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	wait.For(ctx, d)
	return ctx.Err()
}
