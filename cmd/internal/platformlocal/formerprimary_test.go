package platformlocal

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/lineclient"
	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

const (
	// promotionLimit bounds the wait for a promotion, and for statements that have to run again afterwards.
	promotionLimit = 30 * time.Second
	// statementInterval is the interval of repeated statements.
	statementInterval = 20 * time.Millisecond
	// settleTime is how long statements go on after a promotion. The entries of the servers show it meanwhile.
	settleTime = time.Second
	// restartDelay is shorter than the wait for instances that can't be told, and longer than the time until the others are.
	restartDelay = 2500 * time.Millisecond
)

// replacement is a deployment of three processes whose first primary, in the zone of the first instance, is replaced.
type replacement struct {
	*Deployment
	t        *testing.T
	database string
	old      *Server
	number   atomic.Int64 // of the last statement

	mu           sync.Mutex
	acknowledged map[string]bool // by id
}

func startReplacement(t *testing.T) *replacement {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(Config{
		Binary: binary, Dir: t.TempDir(), Instances: 3,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40, Unfenced: true, WithoutEras: true, Gated: true},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	t.Cleanup(func() {
		for _, i := range d.Instances {
			t.Logf("%s:\n%s", i.Name, failoverLog(i))
		}
	})
	r := &replacement{Deployment: d, t: t, database: d.DatabaseNames()[0], acknowledged: map[string]bool{}}
	r.old = d.Servers(r.database)[0]
	for _, i := range d.Instances {
		r.awaitWrite(i)
		r.awaitLog(i, "CYC-6032") // an instance suspects only a server that it takes for the primary
	}
	return r
}

func (r *replacement) awaitLog(i *Instance, event string) {
	r.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(statementInterval) {
		if strings.Contains(failoverLog(i), event) {
			return
		}
	}
	r.t.Fatalf("%s has not logged %s after %s", i.Name, event, startTimeout)
}

// failoverLog returns the lines of an instance's log that tell about primaries.
func failoverLog(i *Instance) string {
	events := regexp.MustCompile(`CYC-(6016|6017|6018|6019|6021|603[1-4]|7013)`)
	text, err := os.ReadFile(i.log)
	if err != nil {
		return err.Error()
	}
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		if events.MatchString(line) {
			out.WriteString(line)
		}
	}
	return out.String()
}

func (r *replacement) dial(i *Instance) *lineclient.Session {
	r.t.Helper()
	s, err := lineclient.Dial(i.CallerAddress, r.database+StrictRouteSuffix, "k")
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// query sends a statement and records whether it was acknowledged.
func (r *replacement) query(s *lineclient.Session, text string) (lineclient.Reply, string) {
	id := fmt.Sprintf("q%d", r.number.Add(1))
	reply := s.Query(id, text)
	if reply.Outcome == lineclient.Receipt {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.acknowledged[id] = true
	}
	return reply, id
}

func (r *replacement) promoted() bool {
	primary := r.Group(r.database).Primary()
	return primary != "" && primary != r.old.ID
}

func (r *replacement) awaitPromotion() {
	r.t.Helper()
	for end := time.Now().Add(promotionLimit); !r.promoted(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s was not replaced within %s", r.old.ID, promotionLimit)
		}
	}
}

// awaitWrite writes through an instance until a write that the present primary has executed is acknowledged.
func (r *replacement) awaitWrite(i *Instance) {
	r.t.Helper()
	for end := time.Now().Add(promotionLimit); time.Now().Before(end); time.Sleep(statementInterval) {
		s, err := lineclient.Dial(i.CallerAddress, r.database+StrictRouteSuffix, "k")
		if err != nil {
			continue
		}
		reply, id := r.query(s, "WRITE x 1")
		s.Close()
		for _, e := range r.ExecutedStatements() {
			if reply.Outcome == lineclient.Receipt && e.ID == id && e.OnPrimary {
				return
			}
		}
	}
	r.t.Errorf("no write through %s at the primary was acknowledged within %s", i.Name, promotionLimit)
}

// loseAnswer makes an instance suspect the primary, by a read whose answer is lost.
func (r *replacement) loseAnswer(i *Instance) {
	r.t.Helper()
	r.Group(r.database).DropResponses(r.old.ID, 1)
	s := r.dial(i)
	defer s.Close()
	r.query(s, "READ x")
}

// openTransaction opens a transaction that has written. The function it returns keeps it open until the promotion, and then
// commits it.
func (r *replacement) openTransaction(i *Instance) (commitAfterPromotion func()) {
	r.t.Helper()
	s := r.dial(i)
	for end := time.Now().Add(promotionLimit); ; time.Sleep(statementInterval) {
		r.query(s, "BEGIN")
		if reply, _ := r.query(s, "WRITE x 1"); reply.Outcome == lineclient.Receipt {
			break
		}
		r.query(s, "ROLLBACK")
		if r.promoted() || time.Now().After(end) {
			r.t.Fatalf("no transaction could be opened through %s", i.Name)
		}
	}
	return func() {
		defer s.Close()
		for end := time.Now().Add(promotionLimit); !r.promoted(); time.Sleep(statementInterval) {
			if reply, _ := r.query(s, "READ x"); reply.State != lineclient.InTransaction {
				r.t.Logf("the transaction through %s has ended before the promotion: %+v", i.Name, reply)
				return
			}
			if time.Now().After(end) {
				r.t.Fatalf("%s was not replaced within %s", r.old.ID, promotionLimit)
			}
		}
		reply, id := r.query(s, "COMMIT")
		r.t.Logf("COMMIT %s through %s after the promotion: %+v", id, i.Name, reply)
	}
}

// writeThrough sends writes and strict reads through instances until the function it returns is called.
func (r *replacement) writeThrough(instances ...*Instance) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, i := range instances {
		for _, text := range []string{"WRITE x 1", "READ x"} {
			running.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(statementInterval):
					}
					if s, err := lineclient.Dial(i.CallerAddress, r.database+StrictRouteSuffix, "k"); err == nil {
						r.query(s, text)
						s.Close()
					}
				}
			})
		}
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// check requires that no write or COMMIT that the former primary executed after the promotion was acknowledged, and that writes
// go on at its successor.
func (r *replacement) check() {
	r.t.Helper()
	r.checkAcknowledged("writes", func(e linedb.ExecutedStatement) bool { return e.TookEffect })
	if r.t.Failed() {
		return
	}
	for _, i := range r.Instances {
		r.awaitWrite(i)
	}
}

func (r *replacement) checkAcknowledged(what string, counts func(linedb.ExecutedStatement) bool) {
	r.t.Helper()
	var wrong []string
	for _, e := range r.ExecutedStatements() {
		if e.OnFormerPrimary && r.acknowledged[e.ID] && counts(e) {
			wrong = append(wrong, e.ID+" "+e.Text)
		}
	}
	if len(wrong) > 0 {
		r.t.Errorf("%d %s that %s executed after the promotion of its successor were acknowledged, first %s", len(wrong), what, r.old.ID, wrong[0])
	}
}

// Guards against the COMMIT of an open transaction at a former primary that was too busy to step down.
func TestBusyFormerPrimaryCommitsOpenTransaction(t *testing.T) {
	r := startReplacement(t)
	r.Group(r.database).SetBusyControls(r.old.ID, 1e9)
	commit := r.openTransaction(r.Instances[0])
	r.old.CutOff(r.Instances[1:]...)
	r.loseAnswer(r.Instances[1])
	commit()
	r.check()
}

// Guards against the same COMMIT over a connection that another instance lends, which alone reaches the former primary.
func TestBusyFormerPrimaryCommitsBorrowedTransaction(t *testing.T) {
	r := startReplacement(t)
	r.Group(r.database).SetBusyControls(r.old.ID, 1e9)
	r.old.CutOff(r.Instances[1:]...)
	commit := r.openTransaction(r.Instances[1])
	r.loseAnswer(r.Instances[1])
	commit()
	r.check()
}

// Guards against writes at a primary that was replaced by an instance which had started while its entry was missing, and told nobody.
func TestUnlistedFormerPrimaryIsUsed(t *testing.T) {
	r := startReplacement(t)
	r.Instances[2].Stop(syscall.SIGKILL)
	commit := r.openTransaction(r.Instances[0])
	r.RemoveEntry(r.old)
	if err := r.Instances[2].Start(); err != nil {
		t.Fatal(err)
	}
	stop := r.writeThrough(r.Instances[:2]...)
	commit()
	time.Sleep(settleTime)
	stop()
	r.check()
}

// Guards against an instance that starts after a former primary has registered again, and takes it for the newest one.
func TestRegisteredAgainFormerPrimaryIsUsed(t *testing.T) {
	r := startReplacement(t)
	r.Instances[0].Stop(syscall.SIGKILL)
	r.old.CutOff(r.Instances[1:]...)
	stop := r.writeThrough(r.Instances[1])
	r.awaitPromotion()
	r.RemoveEntry(r.old)
	time.Sleep(settleTime)
	if err := r.RegisterAgain(r.database, r.old); err != nil {
		t.Fatal(err)
	}
	if err := r.Instances[0].Start(); err != nil {
		t.Fatal(err)
	}
	if err := r.Instances[0].awaitReady(); err != nil {
		t.Fatal(err)
	}
	stop()
	stop = r.writeThrough(r.Instances[0])
	time.Sleep(settleTime)
	stop()
	r.checkAcknowledged("strict reads", func(e linedb.ExecutedStatement) bool { return !e.TookEffect })
	r.check()
}

// Guards against writes at a former primary through an instance that could not be told of its replacement.
func TestUntoldInstanceWritesAtFormerPrimary(t *testing.T) {
	r := startReplacement(t)
	cutPeers(t, r.Instances[0])
	r.old.CutOff(r.Instances[1:]...)
	stop := r.writeThrough(r.Instances[:2]...)
	r.awaitPromotion()
	time.Sleep(settleTime)
	stop()
	r.check()
}

// Guards against the COMMIT of an open transaction through an instance that could not be told of the replacement.
func TestUntoldInstanceCommitsOpenTransaction(t *testing.T) {
	r := startReplacement(t)
	cutPeers(t, r.Instances[0])
	commit := r.openTransaction(r.Instances[0])
	r.old.CutOff(r.Instances[1:]...)
	stop := r.writeThrough(r.Instances[1])
	commit()
	stop()
	r.check()
}

// Guards against writes at a former primary through an instance that was down when the others were told, and has started since.
func TestInstanceStartedBeforePromotionWritesAtFormerPrimary(t *testing.T) {
	r := startReplacement(t)
	r.Instances[0].Stop(syscall.SIGKILL)
	r.old.CutOff(r.Instances[1:]...)
	stop := r.writeThrough(r.Instances[:2]...)
	time.Sleep(restartDelay)
	if err := r.Instances[0].Start(); err != nil {
		t.Fatal(err)
	}
	r.awaitPromotion()
	time.Sleep(settleTime)
	stop()
	r.check()
}
