package platformlocal

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
)

// startUnfenced starts two instances on a platform where a former primary goes on until it steps down.
func startUnfenced(t *testing.T) *Deployment {
	t.Helper()
	d, err := Start(Config{
		Dir: t.TempDir(), Instances: 2,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Unfenced: true},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// writeUntil sends writes through all instances until stop is closed.
func writeUntil(t *testing.T, d *Deployment, route string, stop <-chan struct{}) (wait func()) {
	t.Helper()
	const sessionsPerInstance = 4
	var running sync.WaitGroup
	var number atomic.Int64
	for _, address := range d.CallerAddresses() {
		for range sessionsPerInstance {
			running.Go(func() {
				var s *lineclient.Session
				for {
					select {
					case <-stop:
						return
					default:
					}
					if s == nil {
						var err error
						if s, err = lineclient.Dial(address, route, "k"); err != nil {
							continue
						}
					}
					id := fmt.Sprintf("w%d", number.Add(1))
					if r := s.Query(id, "WRITE x "+id); r.SessionEnded() {
						s.Close()
						s = nil
					}
				}
			})
		}
	}
	return running.Wait
}

// awaitWrites waits until a server other than old, which may be empty, has executed writes as the primary.
func awaitWrites(t *testing.T, d *Deployment, old string) {
	t.Helper()
	const limit, writes = 20 * time.Second, 100
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(ReadyPollInterval) {
		n := 0
		for _, e := range d.ExecutedStatements() {
			if e.TookEffect && e.OnPrimary && e.Server != old {
				n++
			}
		}
		if n >= writes {
			return
		}
	}
	t.Fatalf("no server other than %q executes writes after %s", old, limit)
}

func checkFormerPrimary(t *testing.T, d *Deployment, old string) {
	t.Helper()
	n := 0
	for _, e := range d.ExecutedStatements() {
		if e.OnFormerPrimary {
			n++
		}
	}
	if n > 0 {
		t.Errorf("%d statements were executed on %s after its successor was promoted", n, old)
	}
}

// Guards against a hand-over that promotes the successor although the leaving primary had no room for the order to step
// down, so that it goes on committing writes which no other server has.
func TestBusyPrimaryStepsDownBeforeItsSuccessorIsPromoted(t *testing.T) {
	d := startUnfenced(t)
	database := d.DatabaseNames()[0]
	stop := make(chan struct{})
	wait := writeUntil(t, d, database+"-strict", stop)
	awaitWrites(t, d, "")
	for _, s := range d.Servers(database) {
		d.Group(database).SetBusyControls(s.ID, 3)
	}
	old, err := d.Drain(database)
	if err != nil {
		t.Fatal(err)
	}
	awaitWrites(t, d, old)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wait()
	checkFormerPrimary(t, d, old)
}

// Guards against statements that reach a primary which the ordering instance could not reach, after its successor was
// promoted. The link to the primary is cut for a moment, and comes back before the entries of the servers have changed
// at all instances.
func TestFormerPrimaryGetsNoStatements(t *testing.T) {
	d := startUnfenced(t)
	database := d.DatabaseNames()[0]
	stop := make(chan struct{})
	wait := writeUntil(t, d, database+"-strict", stop)
	awaitWrites(t, d, "")
	old := d.CrashPrimary(database)
	awaitWrites(t, d, old)
	if err := d.Recover(database); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	close(stop)
	wait()
	checkFormerPrimary(t, d, old)
}
