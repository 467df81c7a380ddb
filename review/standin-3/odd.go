package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenstile/cyclamenstile/standin/linedb"
)

// playOddEntry lets another writer put an entry without the field "version" into the registry. It names a server of another installation
// that has a database of the same name. The case checks whether reads of a primary route see what was acknowledged before.
func playOddEntry(w *world, trouble bool) (broken bool, err error) {
	const service, key, odd = "hire-ledger", "k-prairie", "i-other-1"
	if err := w.addService(service); err != nil {
		return false, err
	}
	other, err := linedb.New(service, odd)
	if err != nil {
		return false, err
	}
	defer other.Close()
	if _, err := w.putConfig(3, 800, tenant{"prairie", []string{key}}); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var sessions []*client
	for i, e := range w.edges {
		c, err := connect(w.rec, fmt.Sprintf("client-%d", i+1), e.callers, service+"-main", key)
		if err != nil {
			return false, err
		}
		defer c.close()
		sessions = append(sessions, c)
	}
	if r, err := sessions[0].query("a-1", "WRITE item1 booked"); err != nil || !r.ok() {
		return false, fmt.Errorf("WRITE: %v %v", r, err)
	}
	if trouble {
		// All fields of PROTOCOL.md but "version".
		err := w.platform.Put("servers", odd, map[string]any{
			"service": service, "address": other.Address(odd), "zone": zones[0], "slots": 3, "state": "ready", "cold_left_ms": 0, "sequence": 4,
			"db_role": "primary", "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return false, err
		}
		w.rec.logf("another writer puts the entry %s without version into the registry", odd)
	}
	served := 0
	for i := range 30 {
		time.Sleep(200 * time.Millisecond)
		c := sessions[i%2]
		id := fmt.Sprintf("b-%d", i)
		r, err := c.query(id, "READ item1")
		if err != nil {
			return false, err
		}
		if !r.ok() {
			continue
		}
		served++
		if len(r.rows) != 1 || r.rows[0] != "booked" {
			w.rec.logf("BROKEN: the read %s on a primary route lacks the write a-1, which was acknowledged before: rows %q, receipt %s",
				id, strings.Join(r.rows, "|"), r.receipt)
			broken = true
		}
		if r, err := c.query(fmt.Sprintf("c-%d", i), fmt.Sprintf("WRITE item2 data%d", i)); err != nil {
			return false, err
		} else if r.ok() && strings.Contains(r.receipt, odd) {
			w.rec.logf("the write c-%d was acknowledged with the receipt of %s", i, odd)
			broken = true
		}
	}
	w.logExecuted()
	for _, s := range other.ExecutedStatements() {
		w.rec.logf("run at %.3f on %s of another installation for tenant %s: %s %s", w.rec.at(s.At), s.Server, s.Account, s.ID, s.Text)
	}
	if served == 0 {
		return false, fmt.Errorf("no read was served")
	}
	return broken, nil
}
