package main

import (
	"fmt"
	"time"
)

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
// with its log after 8.8 s.
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
	time.Sleep(8500 * time.Millisecond)
	if err := primary.restart(); err != nil {
		return err
	}
	r.note("%s is back with its log", primary.id)
	time.Sleep(3 * time.Second)
	return nil
}

// playEmptySuccessor crashes the primary. The first call to promote gets no answer and is carried out later; meanwhile the server that it
// names crashes and starts again, and holds nothing. The primary comes back with its log.
func playEmptySuccessor(r *run) error {
	const lateBy, down, limit = 3 * time.Second, 7 * time.Second, 5 * time.Second
	primary := r.group.primary()
	if !r.trouble {
		time.Sleep(down + limit)
		return nil
	}
	named := make(chan string, 1)
	r.promoter.setLate(func(number int, id string) (time.Duration, bool) {
		if number == 1 {
			named <- id
		}
		return lateBy, number == 1
	})
	r.note("%s crashes", primary.id)
	primary.crash()
	crashed := time.Now()
	select {
	case id := <-named:
		s := r.group.server(id)
		r.note("%s crashes", id)
		s.crash()
		time.Sleep(300 * time.Millisecond)
		if err := s.restart(); err != nil {
			return err
		}
		r.note("%s has started again and holds nothing", id)
	case <-time.After(limit):
		return fmt.Errorf("no promotion is ordered in %s", limit)
	}
	time.Sleep(time.Until(crashed.Add(down)))
	if err := primary.restart(); err != nil {
		return err
	}
	r.note("%s is back with its log", primary.id)
	time.Sleep(3 * time.Second)
	return nil
}

// playWithdrawnKey withdraws the key of a second tenant, and kills all processes while the store is away, which comes back from a copy from
// before that. The operator writes the config again.
func playWithdrawnKey(r *run) error {
	const (
		copyAge   = revokeTime + 500*time.Millisecond
		away      = 300 * time.Millisecond
		rewritten = 2 * time.Second // after the store is back
		startTime = 200 * time.Millisecond
	)
	if err := r.putConfig(1, tenantKey, secondKey); err != nil {
		return err
	}
	time.Sleep(time.Second)
	r.platform.KeepCopy()
	r.note("a copy of the store is taken")
	if err := r.putConfig(2, tenantKey); err != nil {
		return err
	}
	r.withdrawnAt = time.Now()
	r.note("the store has confirmed a config without the key of %s", secondTenant)
	second := startLoad(r.edges, 2, strictRoute, secondKey, "s", write)
	time.Sleep(copyAge)
	if r.trouble {
		r.note("the store is away, and all processes are killed")
		for _, e := range r.edges {
			e.kill()
		}
		time.AfterFunc(startTime, func() {
			for _, e := range r.edges {
				if err := e.start(false); err != nil {
					r.note("start %s: %v", e.name, err)
				}
			}
		})
		r.platform.Restore(away)
		r.note("the store is back from the copy")
		r.group.reportAll()
		time.Sleep(rewritten)
		if err := r.putConfig(2, tenantKey); err != nil {
			return err
		}
		r.note("the operator has written the config again")
	}
	time.Sleep(4 * time.Second)
	r.second = second.end()
	return nil
}

// judgeWithdrawn looks for requests with a withdrawn key that were sent later than revoke_ms after the confirmation of the config that took
// the key away, and that a server ran (CONFIG).
func judgeWithdrawn(r *run, _ []operation) (violations []string) {
	ran := map[string]execution{}
	for _, e := range r.group.executed {
		ran[e.id] = e
	}
	for _, o := range r.second {
		if e, ok := ran[o.id]; ok && o.sent.Sub(r.withdrawnAt) > revokeTime {
			violations = append(violations, fmt.Sprintf("%s, sent with the withdrawn key %.1f s after the confirmation to %s, was run by %s, and its client got %q",
				o.id, o.sent.Sub(r.withdrawnAt).Seconds(), o.edge, e.server, o.answer))
		}
	}
	return violations
}
