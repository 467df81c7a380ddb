package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// judgeOne looks for writes that a replaced primary committed after the promote of its successor had taken effect, and that were
// acknowledged to their clients (ONE). It counts only those that their clients sent after that, so none that was held up on the way.
func judgeOne(r *run, operations []operation) (violations []string) {
	acknowledged := map[string]operation{}
	for _, o := range operations {
		if o.acknowledged() {
			acknowledged[o.id] = o
		}
	}
	for _, e := range r.group.executed {
		o, ok := acknowledged[e.id]
		if !ok {
			continue
		}
		for _, p := range r.group.promotions {
			if p.term > e.term && p.at.Before(o.sent) {
				violations = append(violations, fmt.Sprintf("%s committed %s in term %d, %.0f ms after %s was promoted in term %d, and the client of %s got %q",
					e.server, e.id, e.term, e.at.Sub(p.at).Seconds()*1000, p.server, p.term, o.edge, o.answer))
				break
			}
		}
	}
	return violations
}

// judgeLost looks for commits that were acknowledged to their clients before a promote took effect and that aren't in the log of the
// promoted server (LOST).
func judgeLost(r *run, operations []operation) (violations []string) {
	executed := map[string]execution{}
	for _, e := range r.group.executed {
		executed[e.id] = e
	}
	for _, p := range r.promotedBy {
		has := map[string]bool{}
		for _, c := range p.log {
			has[c.id] = true
		}
		for _, o := range operations {
			e := executed[o.id]
			if o.acknowledged() && o.ended.Before(p.at) && !has[o.id] {
				violations = append(violations, fmt.Sprintf("%s, committed by %s in term %d and acknowledged to the client of %s with %q %.0f ms before, is not in the log of %s, which is promoted in term %d",
					o.id, e.server, e.term, o.edge, o.answer, p.at.Sub(o.ended).Seconds()*1000, p.server, p.term))
			}
		}
	}
	return violations
}

// playLateOrder replaces the three servers of a service one after the other. The first call to promote gets no answer and is carried out
// later, after newer calls.
func playLateOrder(r *run) error {
	const lateBy = 9 * time.Second
	if r.trouble {
		r.promoter.mu.Lock()
		r.promoter.late = func(number int) (time.Duration, bool) { return lateBy, number == 1 }
		r.promoter.mu.Unlock()
	}
	old := r.group.primary()
	for i := range 2 {
		if _, err := r.group.add(fmt.Sprintf("i-%d", 10+i), old.zone, 20*time.Millisecond); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		r.note("%s is to be replaced", old.id)
		old.drain()
		next, err := r.awaitPrimary(old, 20*time.Second)
		if err != nil {
			return err
		}
		old = next
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(lateBy)
	return nil
}

// playRebornReplica cuts the replica that is ahead off from the store, crashes it and the primary at once, and starts the replica again,
// which then holds nothing. The primary comes back with its log.
func playRebornReplica(r *run) error {
	primary, ahead := r.group.servers[0], r.group.servers[1]
	if r.trouble {
		r.note("%s is partitioned from the store", ahead.id)
		ahead.setCutFromStore(true)
		time.Sleep(300 * time.Millisecond)
		r.note("%s and %s crash", primary.id, ahead.id)
		primary.crash()
		ahead.crash()
		time.Sleep(300 * time.Millisecond)
		if err := ahead.restart(); err != nil {
			return err
		}
		r.note("%s has started again and holds nothing", ahead.id)
		time.Sleep(2700 * time.Millisecond)
		if err := primary.restart(); err != nil {
			return err
		}
		r.note("%s is back with its log", primary.id)
		time.Sleep(1500 * time.Millisecond)
		r.note("%s reaches the store again", ahead.id)
		ahead.setCutFromStore(false)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// playNewInstance crashes the primary and the replica that is ahead, which starts again at once and holds nothing, and kills an instance,
// which starts again too. The primary comes back with its log.
func playNewInstance(r *run) error {
	primary, ahead := r.group.servers[0], r.group.servers[1]
	if !r.trouble {
		time.Sleep(10 * time.Second)
		return nil
	}
	r.note("%s and %s crash", primary.id, ahead.id)
	primary.crash()
	ahead.crash()
	r.note("%s is killed", r.edges[0].name)
	r.edges[0].kill()
	time.Sleep(300 * time.Millisecond)
	if err := ahead.restart(); err != nil {
		return err
	}
	r.note("%s has started again and holds nothing", ahead.id)
	time.Sleep(200 * time.Millisecond)
	if err := r.edges[0].start(false); err != nil {
		return err
	}
	r.note("%s has started again", r.edges[0].name)
	time.Sleep(6500 * time.Millisecond)
	if err := primary.restart(); err != nil {
		return err
	}
	r.note("%s is back with its log", primary.id)
	time.Sleep(3 * time.Second)
	return nil
}

// playPrimaryLate crashes the primary and the replica that is ahead, which starts again at once and holds nothing. The primary comes back
// with its log after 7.9 s.
func playPrimaryLate(r *run) error {
	primary, ahead := r.group.servers[0], r.group.servers[1]
	if !r.trouble {
		time.Sleep(10 * time.Second)
		return nil
	}
	primary.awaitBeat()
	r.note("%s and %s crash", primary.id, ahead.id)
	primary.crash()
	ahead.crash()
	time.Sleep(300 * time.Millisecond)
	if err := ahead.restart(); err != nil {
		return err
	}
	r.note("%s has started again and holds nothing", ahead.id)
	time.Sleep(7600 * time.Millisecond)
	if err := primary.restart(); err != nil {
		return err
	}
	r.note("%s is back with its log", primary.id)
	time.Sleep(3 * time.Second)
	return nil
}

// Two shapes with the same 64-bit FNV-1a hash, and two with different ones.
var (
	equalHashes = [2]string{"8yn0iYCKYHlIj4-BwPqk", "GReLUrM4wMqfg9yzV3KQ"}
	otherHashes = [2]string{"8yn0iYCKYHlIj4-BwPqk", "GReLUrM4wMqfg9yzV3KR"}
)

// playPreparedNames makes two clients of one tenant prepare statements of different shapes under the same name, and execute them in turn.
func playPreparedNames(r *run) error {
	shapes := otherHashes
	if r.trouble {
		shapes = equalHashes
	}
	type client struct {
		conn net.Conn
		in   *bufio.Reader
	}
	var clients [2]client
	for i, shape := range shapes {
		c := &clients[i]
		if c.conn, c.in = openSession(r.edges[0].callers, strictRoute, tenantKey); c.conn == nil {
			return fmt.Errorf("client %d gets no session", i)
		}
		defer func() { _ = c.conn.Close() }()
		answer, _ := query(c.conn, c.in, fmt.Sprintf("p%d", i), "PREPARE s1 WRITE "+shape)
		r.note("client %d prepares s1 as a WRITE of the shape %s: %s", i, shape, answer)
	}
	const rounds = 50
	for round := range rounds {
		for i, c := range clients {
			id := fmt.Sprintf("x%d-%02d", i, round)
			answer, ok := query(c.conn, c.in, id, fmt.Sprintf("EXECUTE s1 item%d data%d", i, round))
			if !ok {
				return fmt.Errorf("client %d has lost its session", i)
			}
			r.note("client %d sends %s EXECUTE s1: %s", i, id, answer)
			r.prepared = append(r.prepared, preparedRun{id, shapes[i], answer})
		}
	}
	return nil
}

// judgePinned looks for prepared statements that a server ran in another shape than their client had prepared (PINNED).
func judgePinned(r *run, _ []operation) (violations []string) {
	for _, p := range r.prepared {
		ran, ok := r.group.shapes[p.id]
		r.note("%s was run with the shape %s", p.id, ran)
		if ok && ran != p.shape {
			violations = append(violations, fmt.Sprintf("a server ran %s with the shape %s, its client had prepared %s and got %q", p.id, ran, p.shape, p.answer))
		}
	}
	return violations
}
