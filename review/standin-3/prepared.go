package main

import (
	"fmt"
	"strings"
	"time"
)

// Two statements whose texts differ and whose 64-bit FNV-1a hashes are equal, found by a search of less than a minute.
const (
	firstShape  = "q5yy5bqoa2tnfb"
	secondShape = "q235yktmmf2noj"
	otherShape  = "q235yktmmf2nok"
)

// playPreparedNames lets two clients of one tenant prepare different statements under the same name, and checks which statement the server
// runs for each.
func playPreparedNames(w *world, trouble bool) (broken bool, err error) {
	const service, key = "hire-ledger", "k-prairie"
	if err := w.addService(service); err != nil {
		return false, err
	}
	if _, err := w.putConfig(3, 2000, tenant{"prairie", []string{key}}); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	second := secondShape
	if !trouble {
		second = otherShape
	}
	shapes := map[string]string{}
	for i, shape := range []string{firstShape, second} {
		c, err := connect(w.rec, fmt.Sprintf("client-%d", i+1), w.edges[i].callers, service+"-main", key)
		if err != nil {
			return false, err
		}
		defer c.close()
		for n, text := range []string{"PREPARE s1 WRITE " + shape, "EXECUTE s1 item7 data" + fmt.Sprint(i+1), "EXECUTE s1 item8 data" + fmt.Sprint(i+1)} {
			id := fmt.Sprintf("c%d-%d", i+1, n)
			if r, err := c.query(id, text); err != nil || !r.ok() {
				return false, fmt.Errorf("%s: %v %v", text, r, err)
			}
			if n > 0 {
				shapes[id] = shape
			}
		}
	}
	w.logExecuted()
	ran := 0
	for _, s := range w.groups[service].ExecutedStatements() {
		shape, ok := shapes[s.ID]
		if !ok {
			continue
		}
		ran++
		if fields := strings.Fields(s.Text); fields[1] != shape {
			w.rec.logf("BROKEN: %s ran the statement %s; its client prepared %s", s.ID, fields[1], shape)
			broken = true
		}
	}
	if ran != len(shapes) {
		return false, fmt.Errorf("%d statements ran, want %d", ran, len(shapes))
	}
	return broken, nil
}
