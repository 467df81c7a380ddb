package platformlocal

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
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
		t.Run(name, func(t *testing.T) { runSynchronous(t, unfenced, test) })
	}
}

func runSynchronous(t *testing.T, unfenced bool, test func(s *synchronous)) {
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
	if lost := s.group.LostCommits(); lost > 0 {
		t.Errorf("%d acknowledged commits are not in the log of a promoted server", lost)
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

// Guards against a planned hand-over that never happens because the leaving primary has no slot free for the order to step down as long
// as statements arrive, at whatever rate.
func TestLeavingPrimaryWithoutAFreeSlotHandsOver(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		const quiet, drainTime = 50 * time.Millisecond, 7 * time.Second
		s.group.SetBusyUntilQuiet(s.first.ID, quiet)
		old, err := s.Drain(s.database)
		if err != nil {
			s.t.Fatal(err)
		}
		await(s.t, drainTime, "handed over", func() bool { return s.group.Primary() != "" && s.group.Primary() != old })
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

// Guards against a failover that takes the empty log of a replica which has started again for all that it acknowledged.
func TestReplicaThatStartedAgainEmptyIsNotCounted(t *testing.T) {
	eachSynchronous(t, func(s *synchronous) {
		if err := s.RestartEmpty(s.database, s.ahead); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		s.CrashPrimary(s.database)
		time.Sleep(serverEntryTimeout - time.Second)
		s.checkPrimary(s.first)
		if err := s.Recover(s.database); err != nil {
			t.Fatal(err)
		}
		s.group.SetDeaf(s.ahead.ID, false)
		awaitWrites(t, s.Deployment, s.behind.ID)
	})
}

// Guards against a leaving primary that hands over although a replica that has all commits is about to follow, and against one that
// stays after that, or until it has left.
func TestLeavingPrimaryWaitsForAReplicaForAWhile(t *testing.T) {
	for name, followsAfter := range map[string]time.Duration{"follows": 1500 * time.Millisecond, "never follows": promotionLimit} {
		t.Run(name, func(t *testing.T) {
			eachSynchronous(t, func(s *synchronous) {
				s.group.SetDeaf(s.ahead.ID, true)
				time.Sleep(100 * time.Millisecond) // commits that no replica receives
				old, err := s.Drain(s.database)
				if err != nil {
					s.t.Fatal(err)
				}
				time.Sleep(1500 * time.Millisecond)
				s.checkPrimary(s.first)
				follow := time.AfterFunc(followsAfter-1500*time.Millisecond, func() { s.group.SetDeaf(s.ahead.ID, false) })
				defer follow.Stop()
				const drainTime = 7 * time.Second
				await(s.t, drainTime, "handed over", func() bool { return s.group.Primary() != "" && s.group.Primary() != old })
				s.checkPrimary(s.ahead)
			})
		})
	}
}

// Guards against commits that are acknowledged while an order without an answer may still promote a server that lacks them: the primary is
// back, and a paused replica has started again. Each order but the last one is carried out late, some after any wait for it.
func TestLateOrderPromotesNoServerThatLacksCommits(t *testing.T) {
	for _, lateBy := range []time.Duration{3 * time.Second, 14 * time.Second} {
		t.Run(lateBy.String(), func(t *testing.T) {
			runSynchronous(t, false, func(s *synchronous) {
				var orders atomic.Int64
				s.Platform.OnLateOrder(func(string) (time.Duration, bool) { return lateBy, orders.Add(1) <= 2 })
				old := s.CrashPrimary(s.database)
				await(t, promotionLimit, "ordered", func() bool { return orders.Load() > 0 })
				s.group.SetDeaf(s.ahead.ID, true)
				if err := s.Recover(s.database); err != nil {
					t.Fatal(err)
				}
				if err := s.RestartEmpty(s.database, s.behind); err != nil {
					t.Fatal(err)
				}
				s.group.SetDeaf(s.behind.ID, false)
				time.Sleep(lateBy)
				awaitWrites(t, s.Deployment, old)
			})
		})
	}
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

// rawSession is a session at a server that no instance has opened.
type rawSession struct {
	conn net.Conn
	in   *bufio.Reader
}

func openRaw(t *testing.T, d *Deployment, database string, s *Server) *rawSession {
	t.Helper()
	conn, err := net.Dial("tcp", d.Group(database).Address(s.ID))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	r := &rawSession{conn, bufio.NewReader(conn)}
	if answer := r.send("STARTUP " + database + " a " + s.ID); !strings.HasPrefix(answer, "READY ") {
		t.Fatalf("the server answers %q", answer)
	}
	return r
}

// send sends a message and returns the first line of the answer, empty if there is none in time.
func (r *rawSession) send(message string) string {
	const limit = 300 * time.Millisecond
	_ = r.conn.SetDeadline(time.Now().Add(limit))
	if _, err := r.conn.Write([]byte(message + "\r\n")); err != nil {
		return ""
	}
	line, _ := r.in.ReadString('\n')
	return strings.TrimSpace(line)
}

// farPrimary is a deployment on a platform that fences promotions. Its instances lose the primary, which others still reach.
type farPrimary struct {
	*Deployment
	t        *testing.T
	database string
	group    *linedb.Group
}

func startFarPrimary(t *testing.T) *farPrimary {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d := startWith(t, Config{
		Binary: binary, Dir: t.TempDir(), Instances: 2,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Copies: 1, Gated: true},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
	})
	f := &farPrimary{Deployment: d, t: t, database: d.DatabaseNames()[0], group: d.Group(d.DatabaseNames()[0])}
	for n, i := range d.Instances {
		await(t, promotionLimit, "served", func() bool {
			return isServed(i.CallerAddress, f.database+StrictRouteSuffix, "k", fmt.Sprintf("first-%d", n))
		})
	}
	return f
}

// lose cuts all instances off from the primary, and sends statements, which make them notice it, until done.
func (f *farPrimary) lose(done func() bool) {
	f.t.Helper()
	f.Servers(f.database)[0].CutOff(f.Instances...)
	n := 0
	await(f.t, promotionLimit, "done", func() bool {
		n++
		isServed(f.Instances[n%2].CallerAddress, f.database+StrictRouteSuffix, "k", fmt.Sprintf("lost-%d", n))
		return done()
	})
}

// paused returns how many servers are paused.
func (f *farPrimary) paused() (n int) {
	for _, s := range f.Servers(f.database) {
		if f.group.IsPaused(s.ID) {
			n++
		}
	}
	return n
}

// Guards against a primary that nobody reaches and that has a commit acknowledged, by another replica than its successor, between the
// choice of the successor and its promotion.
func TestFarPrimaryHasNothingAcknowledgedThatItsSuccessorLacks(t *testing.T) {
	f := startFarPrimary(t)
	far := openRaw(t, f.Deployment, f.database, f.Servers(f.database)[0])
	var answer string
	var once sync.Once
	f.OnOrder(func(server string) bool {
		once.Do(func() {
			f.group.SetDeaf(server, true)
			answer = far.send("QUERY far WRITE far value")
		})
		return true
	})
	f.lose(func() bool { return f.group.Primary() != f.Servers(f.database)[0].ID })
	if value := f.group.Content()["far"]; answer != "" && value != "value" {
		t.Errorf("the former primary has answered %q, and %s, which is promoted, lacks the commit", answer, f.group.Primary())
	}
	if n := f.paused(); n > 0 {
		t.Errorf("%d servers are paused after the promotion", n)
	}
}

// Guards against replicas that stay paused although the platform has refused the promotion.
func TestPauseEndsWithARefusedPromotion(t *testing.T) {
	f := startFarPrimary(t)
	var pausedAtOrder atomic.Int64
	f.OnOrder(func(string) bool {
		pausedAtOrder.Store(int64(f.paused()))
		return false
	})
	f.lose(func() bool { return pausedAtOrder.Load() > 0 })
	await(t, promotionLimit, "resumed", func() bool { return f.paused() == 0 })
}

// Guards against replicas that stay paused, so that commits are never acknowledged, as the instance that paused them has ended.
func TestAbandonedPauseEnds(t *testing.T) {
	d := startWith(t, Config{
		Dir: t.TempDir(), Instances: 2,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Copies: 1},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
	})
	database, n := d.DatabaseNames()[0], 0
	written := func() bool {
		n++
		r, _ := query(t, d.Instances[n%2].CallerAddress, database+StrictRouteSuffix, "k", fmt.Sprintf("w-%d", n), "WRITE x y")
		return r.Outcome == lineclient.Receipt
	}
	await(t, promotionLimit, "written", written)
	for _, s := range d.Servers(database)[1:] {
		if answer := openRaw(t, d, database, s).send("QUERY - PAUSE 2"); !strings.HasPrefix(answer, "DATAROW replica 1 1.") {
			t.Fatalf("the server answers %q", answer)
		}
	}
	await(t, promotionLimit, "written again", written)
	if primary := d.Group(database).Primary(); primary != d.Servers(database)[0].ID {
		t.Errorf("the primary was replaced by %s", primary)
	}
}
