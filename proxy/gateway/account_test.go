package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
)

// secondKey belongs to the same account as testKey at first.
const secondKey = "second-key-of-a"

// setHolders brings a configuration into force in which keys belong to accounts; an empty account has withdrawn its key.
func (f *fixture) setHolders(holders map[string]string) {
	byAccount := map[string][]manifest.Key{"a": nil, "b": nil}
	for key, account := range holders {
		if account != "" {
			sum := manifest.HashKey(key).String()
			byAccount[account] = append(byAccount[account], manifest.Key{ID: sum[:8], SHA256: sum})
		}
	}
	f.directory.update(func(d *testDirectory) {
		grant, _ := testCatalog().Authorize("strict", manifest.HashKey(testKey))
		c := catalog.Catalog{Version: d.snapshot.Version() + 1, Databases: d.snapshot.Databases(), Routes: []catalog.Route{grant.Route}}
		for account, keys := range byAccount {
			c.Accounts = append(c.Accounts, manifest.Account{Name: account, Keys: keys})
		}
		d.snapshot = catalog.NewSnapshot(c)
	})
	f.gateway.ConfigurationChanged()
}

// Guards against a statement or COMMIT that runs for an account which doesn't hold the client's key any more: whatever changes hands
// between the statements of two sessions, at the instance of the client or over a lent connection.
func TestStatementsRunForTheHolderOfTheKey(t *testing.T) {
	for name, f := range map[string]*fixture{"own connections": newFixture(t), "lent connections": newLendingPair(t).borrower} {
		t.Run(name, func(t *testing.T) {
			n := 0
			rapid.Check(t, func(t *rapid.T) {
				holders := map[string]string{testKey: "a", secondKey: "a"}
				f.setHolders(holders)
				sessions := map[string]*caller{}
				for range 20 {
					key := rapid.SampledFrom([]string{testKey, secondKey}).Draw(t, "key")
					if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
						holders[key] = rapid.SampledFrom([]string{"a", "b", "a", "b", ""}).Draw(t, "account")
						f.setHolders(holders)
						continue
					}
					c := sessions[key]
					if c == nil {
						opened, answer := f.dial("strict", key)
						if !strings.HasPrefix(answer, "READY") {
							continue
						}
						c = opened
						sessions[key] = c
					}
					n++
					id := fmt.Sprintf("id%d", n)
					text := rapid.SampledFrom([]string{"BEGIN", "WRITE x " + id, "COMMIT", "ROLLBACK"}).Draw(t, "statement")
					if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil || strings.HasSuffix(c.answer(id), "closed") {
						delete(sessions, key)
					}
					executed := f.group.ExecutedStatements()
					if k := len(executed) - 1; k >= 0 && executed[k].ID == id && executed[k].Account != holders[key] {
						t.Fatalf("%s ran for %q, and the key belongs to %q", text, executed[k].Account, holders[key])
					}
				}
				for _, c := range sessions {
					_ = c.conn.Close()
				}
			})
		})
	}
}

// Guards against an open transaction that stays at its server for as long as its client rests, although the key was given to another
// account or withdrawn, or the instance can't know; and against the end of one whose account has lost another key.
func TestIdleTransactionEndsWithTheRightToIt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fixture)
		ends   bool
		answer string
	}{
		"given to another account": {func(f *fixture) { f.setHolders(map[string]string{testKey: "b"}) }, true, "ABORTED|READY E -"},
		"given away and back": {func(f *fixture) {
			f.setHolders(map[string]string{testKey: "b"})
			time.Sleep(200 * time.Millisecond)
			f.setHolders(map[string]string{testKey: "a"})
		}, true, "ABORTED|READY E -"},
		"withdrawn":             {func(f *fixture) { f.setHolders(nil) }, true, "NOAUTH|READY E -"},
		"not known":             {func(f *fixture) { f.directory.update(func(d *testDirectory) { d.stale = true }) }, true, "ABORTED|READY E -"},
		"another key withdrawn": {func(f *fixture) { f.setHolders(map[string]string{testKey: "a", secondKey: ""}) }, false, "receipt|READY T -"},
	} {
		t.Run(name, func(t *testing.T) {
			log, logged := test.NewNullLogger()
			f := newFixture(t, func(cfg *Config) { cfg.Log = NewEventLog(log, tally.NoopScope, boottime.Now) })
			go f.gateway.Maintain(t.Context())
			f.setHolders(map[string]string{testKey: "a", secondKey: "a"})
			client := f.open("strict")
			client.want("b", "BEGIN", "done|READY T -")
			client.want("w", "WRITE x v", "receipt|READY T -")
			c.change(f)
			ended := func() bool {
				return slices.ContainsFunc(logged.AllEntries(), func(e *logrus.Entry) bool { return e.Data[fieldEvent] == EventTransactionUnauthorized })
			}
			for end := time.Now().Add(time.Second); !ended() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			if ended() != c.ends {
				t.Errorf("the transaction of the resting client has ended: %t, want %t", ended(), c.ends)
			}
			client.want("n", "WRITE y v", c.answer)
		})
	}
}
