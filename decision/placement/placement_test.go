package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

const ms = time.Millisecond

func pos(term, lsn uint64) position.Position {
	return position.Position{Term: term, LSN: lsn}
}

func newTestGroup() *Group {
	g := NewGroup(Locality{Region: "here", FailureDomain: "here-a"})
	g.Register(0, []discovery.Server{
		{ID: "p", Region: "far", Primary: true, Revision: 1},
		{ID: "r1", Region: "here", Revision: 2},
		{ID: "r2", Region: "far", Revision: 3},
	})
	return g
}

// Guards against stale reads: a floor must cover every commit acknowledged before the staleness bound, whatever the
// delays of the leader's answers.
func TestFloorCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Samples
		var now time.Duration
		var log uint64
		type commit struct {
			at  time.Duration
			lsn uint64
		}
		var acknowledged []commit
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * ms
			log += uint64(rapid.IntRange(0, 3).Draw(t, "commits"))
			acknowledged = append(acknowledged, commit{now, log})
			if rapid.Bool().Draw(t, "sampled") {
				// The leader answers some time after the request was sent.
				sent := now - time.Duration(rapid.IntRange(0, 100).Draw(t, "delay"))*ms
				s.Add(sent, pos(1, log))
			}
			staleness := time.Duration(rapid.IntRange(600, 3000).Draw(t, "staleness")) * ms
			floor, ok := s.Floor(now, staleness)
			if !ok {
				continue
			}
			for _, c := range acknowledged {
				if c.at < now-staleness && c.lsn > floor.LSN {
					t.Fatalf("at %s the floor %s for %s lacks commit %d acknowledged at %s", now, floor, staleness, c.lsn, c.at)
				}
			}
		}
	})
}

// Guards against a floor in a part of an older term's log that a promotion has rolled back: no replica would ever
// reach it.
func TestSamplesFollowTheNewestTerm(t *testing.T) {
	var s Samples
	s.Add(100*ms, pos(3, 1207))
	s.Add(200*ms, pos(4, 1203))
	s.Add(260*ms, pos(3, 1209)) // delayed answer of the old leader
	if floor, ok := s.Floor(300*ms, time.Second); !ok || floor != pos(4, 1203) {
		t.Errorf("got floor %s, %t, want the sample of term 4", floor, ok)
	}
	if _, ok := s.Floor(5*time.Second, time.Second); ok {
		t.Error("got a floor from an expired sample")
	}
}

// Guards against reads sent to another region although a replica in the local one can answer them.
func TestReadsPreferNearReplica(t *testing.T) {
	g := newTestGroup()
	if id, _, ok := g.Replica(0, pos(1, 1), nil); !ok || id != "r1" {
		t.Errorf("read goes to %q", id)
	}
	if id, _, _ := g.Replica(0, pos(1, 1), []string{"r1"}); id != "p" && id != "r2" {
		t.Errorf("read goes to %q after r1 was excluded", id)
	}
}

// Guards against a queue at the local replica while others are idle.
func TestReadsAvoidBusyReplica(t *testing.T) {
	g := newTestGroup()
	for range 12 {
		g.RecordSent("r1")
	}
	if id, _, _ := g.Replica(0, pos(1, 1), nil); id == "r1" {
		t.Error("read goes to a replica with a long queue")
	}
}

// Guards against reads sent repeatedly to a replica that lacks the position, and against skipping a replica that has
// caught up. Load: a read each 50 ms during 5 s, whose position the near replica reaches after 4 s.
func TestLaggingReplicaIsSkipped(t *testing.T) {
	const mostRefusals, caughtUpAt = 6, 4 * time.Second
	g := newTestGroup()
	refusals := 0
	var servedAt time.Duration
	for now := 50 * ms; now < caughtUpAt+time.Second && servedAt == 0; now += 50 * ms {
		floor := pos(1, uint64(now/ms))
		switch id, _, _ := g.Replica(now, floor, nil); {
		case id != "r1":
		case now >= caughtUpAt:
			servedAt = now
			g.MarkAlive(now, "r1", floor)
		default:
			refusals++
			g.MarkAlive(now, "r1", pos(1, 10))
			g.MarkLagging(now, "r1", floor)
		}
	}
	if refusals > mostRefusals || servedAt == 0 {
		t.Errorf("%d reads refused, served again at %s; want at most %d and before %s", refusals, servedAt, mostRefusals, caughtUpAt+time.Second)
	}
	g.MarkLagging(6*time.Second, "r1", pos(1, 7000))
	g.MarkAlive(6050*ms, "r1", pos(1, 7000))
	if id, _, _ := g.Replica(6060*ms, pos(1, 7000), nil); id != "r1" {
		t.Errorf("read goes to %q although r1 has caught up", id)
	}
}

// Guards against a server that is skipped for seconds after a short interruption, because several statements failed at the same
// time. Load: 8 statements at a server that is down for 0.8 s.
func TestFailuresAtTheSameTimeCountOnce(t *testing.T) {
	g := newTestGroup()
	for now := time.Duration(0); now < 800*ms; now += 10 * ms {
		if id, _ := g.Leader(now, nil); id == "p" {
			for range 8 {
				g.MarkUnreachable(now, "p")
			}
		}
	}
	if id, _ := g.Leader(1200*ms, nil); id != "p" {
		t.Errorf("leader is %q 0.4 s after p has come back", id)
	}
}

// Guards against reads that ask replicas whether they lead while the queue of the known leader is full.
func TestLeaderIsKnownWhileExcluded(t *testing.T) {
	g := newTestGroup()
	g.MarkLeader(10*ms, 5*ms, "p", pos(1, 50))
	if id, ok := g.Leader(20*ms, []string{"p"}); ok {
		t.Errorf("leader is %q although p has proved to be it", id)
	}
	g.MarkUnreachable(30*ms, "p")
	if id, ok := g.Leader(40*ms, []string{"p"}); !ok || id == "p" {
		t.Errorf("leader is %q, want another while p does not answer", id)
	}
}

// Guards against writes sent to a server that denied being the leader, and against a promotion that goes undetected
// until the entries show it.
func TestLeaderSearchAfterDenial(t *testing.T) {
	g := newTestGroup()
	if id, _ := g.Leader(0, nil); id != "p" {
		t.Fatalf("leader is %q", id)
	}
	g.MarkNotLeader(10*ms, "p")
	id, ok := g.Leader(20*ms, nil)
	if !ok || id == "p" {
		t.Fatalf("leader is %q, %t after p denied being the leader", id, ok)
	}
	g.MarkLeader(30*ms, 25*ms, "r2", pos(2, 10))
	if id, _ := g.Leader(300*ms, nil); id != "r2" {
		t.Errorf("leader is %q although r2 has proven to be the leader", id)
	}
	if id, ok := g.Primary(); !ok || id != "r2" {
		t.Errorf("primary is %q, %t", id, ok)
	}
}

// Guards against new work for servers that are leaving, whose entries are missing, or that don't answer.
func TestUnusableServersGetNoReads(t *testing.T) {
	g := newTestGroup()
	g.MarkUnreachable(0, "r1")
	if id, _, _ := g.Replica(50*ms, pos(1, 1), nil); id == "r1" {
		t.Error("read goes to a server that does not answer")
	}
	g.MarkAlive(60*ms, "r1", position.Position{})
	g.Register(100*ms, []discovery.Server{{ID: "r1", Region: "here", Leaving: true, Revision: 9}, {ID: "r2", Region: "far", Revision: 3}})
	for range 3 {
		if id, _, _ := g.Replica(110*ms, pos(1, 1), nil); id != "r2" {
			t.Errorf("read goes to %q", id)
		}
	}
}

// Guards against removing a server because of a short store outage, and against never removing it.
func TestMissingEntriesAreKeptForAWhile(t *testing.T) {
	g := newTestGroup()
	g.Register(time.Second, nil)
	if !g.Missing("p") || len(g.Servers()) != 3 {
		t.Fatalf("%d servers, p missing %t", len(g.Servers()), g.Missing("p"))
	}
	g.Register(2*time.Second, []discovery.Server{{ID: "p", Region: "far", Primary: true, Revision: 11}})
	g.Expire(time.Second + missingGracePeriod + ms)
	if g.Missing("p") || len(g.Servers()) != 1 {
		t.Errorf("%d servers, p missing %t", len(g.Servers()), g.Missing("p"))
	}
}

// Guards against positions and refusals from before a server's restart being applied after it.
func TestRestartedServerLosesItsState(t *testing.T) {
	g := newTestGroup()
	g.MarkAlive(10*ms, "r1", pos(1, 500))
	g.MarkLagging(20*ms, "r1", pos(1, 600))
	g.Register(30*ms, []discovery.Server{{ID: "r1", Region: "here", Started: 77, Revision: 20}, {ID: "p", Region: "far", Primary: true, Revision: 1}})
	if _, known := g.LastAnswer(40*ms, "r1"); known {
		t.Error("an answer from before the restart is still known")
	}
}

// Guards against preferring a crashed leader over the server that was promoted instead, because it had proven to be
// the leader earlier (paysheet scale-2: writes stopped for 5 s after the promotion).
func TestPromotedServerReplacesACrashedLeader(t *testing.T) {
	g := newTestGroup()
	g.MarkLeader(time.Second, time.Second, "p", pos(1, 10))
	g.MarkUnreachable(2*time.Second, "p")
	if id, ok := g.Leader(2*time.Second+10*ms, nil); !ok || id == "p" {
		t.Errorf("leader is %q, %t while p does not answer", id, ok)
	}
	g.Register(3*time.Second, []discovery.Server{
		{ID: "p", Region: "far", Primary: true, Revision: 1},
		{ID: "r1", Region: "here", Primary: true, Revision: 30},
		{ID: "r2", Region: "far", Revision: 3},
	})
	if id, ok := g.Leader(10*time.Second, nil); !ok || id != "r1" {
		t.Errorf("leader is %q, %t after the entry of r1 shows its promotion", id, ok)
	}
	if id, ok := g.Primary(); !ok || id != "r1" {
		t.Errorf("primary is %q, %t", id, ok)
	}
}

// Guards against reads that follow each other to a server whose scheduler has announced a long queue, and against a server
// that is avoided for an announcement that is out of date.
func TestLoadSchedulerBacklogAddsToTheCost(t *testing.T) {
	g := newTestGroup()
	replica := func(now time.Duration) string {
		id, _, _ := g.Replica(now, position.Position{}, []string{"p"})
		return id
	}
	if got := replica(time.Second); got != "r1" {
		t.Fatalf("replica %q, want the one in the region", got)
	}
	g.RecordBacklog(time.Second, "r1", 200*ms)
	if got := replica(time.Second + 100*ms); got != "r2" {
		t.Errorf("replica %q while the near one has a queue of 200 ms, want the far one", got)
	}
	if got := replica(time.Second + 450*ms); got != "r1" {
		t.Errorf("replica %q 450 ms after the announcement, want the near one", got)
	}
	g.RecordBacklog(2*time.Second, "r1", 200*ms)
	g.RecordBacklog(2*time.Second, "r1", 0)
	if got := replica(2 * time.Second); got != "r1" {
		t.Errorf("replica %q after the queue is empty, want the near one", got)
	}
}
