package platformlocal

import (
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

// synchronous is a deployment whose commits are acknowledged once one of two replicas has received them.
type synchronous struct {
	*Deployment
	t                    *testing.T
	database             string
	group                *linedb.Group
	ahead, behind, first *Server // behind has not received the last commits
}

// eachSynchronous runs a test on a platform that fences promotions and on one that doesn't, beside a load of writes.
func eachSynchronous(t *testing.T, test func(s *synchronous)) {
	for name, unfenced := range map[string]bool{"fenced": false, "unfenced": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startWith(t, Config{
				Dir: t.TempDir(), Instances: 2,
				Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Unfenced: unfenced, Copies: 1},
				Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
			})
			database := d.DatabaseNames()[0]
			servers := d.Servers(database)
			s := &synchronous{
				Deployment: d, t: t, database: database, group: d.Group(database), first: servers[0], ahead: servers[1], behind: servers[2],
			}
			stop := make(chan struct{})
			wait := writeUntil(t, d, database+StrictRouteSuffix, stop)
			defer wait()
			defer close(stop)
			awaitWrites(t, d, "")
			s.group.SetDeaf(s.behind.ID, true)
			time.Sleep(300 * time.Millisecond) // commits that only one replica receives
			test(s)
			if cut := s.group.CutCommits(); cut > 0 {
				t.Errorf("%d commits that were acknowledged are not in the log of a promoted server", cut)
			}
		})
	}
}

func (s *synchronous) checkPrimary(want *Server) {
	s.t.Helper()
	if got := s.group.Primary(); got != want.ID {
		s.t.Errorf("the primary is %q, want %q", got, want.ID)
	}
}

// busyAnswers is how often the server that is ahead answers BUSY: longer than one probe is repeated, less than a failover may take.
const busyAnswers = 20

// Guards against a failover that takes a busy replica, which has all acknowledged commits, for one that has none.
func TestBusyReplicaWithAllCommitsIsPromoted(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		s.group.SetBusyControls(s.ahead.ID, busyAnswers)
		old := s.CrashPrimary(s.database)
		awaitWrites(t, s.Deployment, old)
		s.checkPrimary(s.ahead)
	})
}

// Guards against a planned hand-over to a replica that lacks acknowledged commits.
func TestHandOverGoesToTheReplicaWithAllCommits(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		s.group.SetBusyControls(s.ahead.ID, busyAnswers)
		old, err := s.Drain(s.database)
		if err != nil {
			t.Fatal(err)
		}
		awaitWrites(t, s.Deployment, old)
		s.checkPrimary(s.ahead)
	})
}

// Guards against a failover that takes a replica for one without commits because this instance doesn't reach it.
func TestUnreachableReplicaWithAllCommitsIsWaitedFor(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		s.ahead.Relay.Disable()
		old := s.CrashPrimary(s.database)
		time.Sleep(serverEntryTimeout + 3*time.Second)
		s.checkPrimary(s.first)
		if err := s.ahead.Relay.Enable(); err != nil {
			t.Fatal(err)
		}
		awaitWrites(t, s.Deployment, old)
		s.checkPrimary(s.ahead)
	})
}

// Guards against a leaving primary that hands over although no replica has all commits, and against one that stays when one has.
func TestLeavingPrimaryStaysUntilAReplicaHasAllCommits(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		s.group.SetDeaf(s.ahead.ID, true)
		time.Sleep(100 * time.Millisecond) // a commit that no replica receives
		old, err := s.Drain(s.database)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		s.checkPrimary(s.first)
		s.group.SetDeaf(s.ahead.ID, false)
		awaitWrites(t, s.Deployment, old)
		s.checkPrimary(s.ahead)
	})
}

// Guards against a database without a primary for as long as a replica is gone for good.
func TestGoneReplicaIsNotWaitedFor(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		s.group.SetDeaf(s.behind.ID, false)
		s.RemoveEntry(s.ahead)
		s.ahead.Relay.Disable()
		old := s.CrashPrimary(s.database)
		awaitWrites(t, s.Deployment, old)
		s.checkPrimary(s.behind)
	})
}
