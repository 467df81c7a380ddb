package main

import (
	"fmt"
	"time"
)

// playKeyMoved moves a key from one tenant to another by a new config while a client with that key has a transaction open, and checks for
// which tenant the servers run what the client sends afterwards.
func playKeyMoved(w *world, trouble bool) (broken bool, err error) {
	const key = "k-moving"
	if err := w.addService("hire-ledger"); err != nil {
		return false, err
	}
	if _, err := w.putConfig(3, 2000, tenant{"prairie", []string{key}}, tenant{"foothills", []string{"k-foothills"}}); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the tenants' quota is available
	c, err := connect(w.rec, "client", w.edges[0].callers, "hire-ledger-main", key)
	if err != nil {
		return false, err
	}
	defer c.close()
	if r, err := c.query("q-begin", "BEGIN"); err != nil || !r.ok() {
		return false, fmt.Errorf("BEGIN: %v %v", r, err)
	}
	if r, err := c.query("q-0", "WRITE item0 before"); err != nil || !r.ok() {
		return false, fmt.Errorf("WRITE: %v %v", r, err)
	}
	after := []tenant{{"prairie", []string{key}}, {"foothills", []string{"k-foothills"}}}
	if trouble {
		after = []tenant{{"prairie", []string{"k-prairie-new"}}, {"foothills", []string{"k-foothills", key}}}
	}
	confirmed, err := w.putConfig(7, 1900, after...)
	if err != nil {
		return false, err
	}
	holder := "prairie"
	if trouble {
		holder = "foothills"
	}
	sentAt := map[string]time.Time{}
	ask := func(id, text string) bool {
		sentAt[id] = time.Now()
		r, err := c.query(id, text)
		return err == nil && r.ok()
	}
	open := true
	for i := 1; open && i <= 9; i++ { // at most ten statements and COMMIT in a transaction
		time.Sleep(800 * time.Millisecond)
		open = ask(fmt.Sprintf("q-%d", i), fmt.Sprintf("WRITE item%d after", i))
	}
	if open {
		ask("q-commit", "COMMIT")
	}
	// A new session with the same key shows which tenant holds it.
	fresh, err := connect(w.rec, "new client", w.edges[0].callers, "hire-ledger-main", key)
	if err != nil {
		return false, err
	}
	defer fresh.close()
	if r, err := fresh.query("n-1", "READ item0"); err != nil || !r.ok() {
		return false, fmt.Errorf("READ of a new session: %v %v", r, err)
	}
	w.logExecuted()
	for _, s := range w.groups["hire-ledger"].ExecutedStatements() {
		sent, ours := sentAt[s.ID]
		late := ours && sent.Sub(confirmed) > configApplyMS*time.Millisecond
		if late && s.Account != holder {
			w.rec.logf("BROKEN: %s was sent %.0f ms after the confirmation and ran for tenant %s; the tenant that holds the key is %s",
				s.ID, sent.Sub(confirmed).Seconds()*1000, s.Account, holder)
			broken = true
		}
		if s.ID == "n-1" && s.Account != holder {
			return false, fmt.Errorf("the new session ran for tenant %s", s.Account)
		}
	}
	return broken, nil
}
