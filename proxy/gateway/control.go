package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	"github.com/cyclamenstile/cyclamenstile/decision/placement"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// pastDeadline is a deadline that unblocks a pending read.
var pastDeadline = time.Unix(1, 0)

// ErrBusy reports that a server answered without a status, as it has no capacity for the request or, if the message names another
// code, refuses it.
var ErrBusy = errors.New("the server answers, but has no room for a control call")

// HasServers reports whether a database has servers.
func (g *Gateway) HasServers(database string) (ok bool) {
	g.view(database).read(func(group *placement.Group) { ok = !group.Empty() })
	return ok
}

// Primary returns the server of a database that most likely leads.
func (g *Gateway) Primary(database string) (s discovery.Server, missing, ok bool) {
	v := g.view(database)
	v.read(func(group *placement.Group) {
		id, known := group.Primary()
		if !known {
			return
		}
		s, ok = group.Server(id)
		missing = group.Missing(id)
	})
	return s, missing, ok
}

// Servers returns the servers of a database.
func (g *Gateway) Servers(database string) []discovery.Server {
	var out []discovery.Server
	g.view(database).read(func(group *placement.Group) { out = group.Servers() })
	return out
}

// HighestPosition returns the highest end of a server's log that was seen since it started.
func (g *Gateway) HighestPosition(s discovery.Server) (p position.Position) {
	g.view(s.Database).read(func(group *placement.Group) { p = group.Logs.Highest(s.ID) })
	return p
}

// HasAllAcknowledged reports whether a server whose log ends at received has everything that it acknowledged, as far as this instance
// knows. highest is HighestPosition as of before the server was asked.
func (g *Gateway) HasAllAcknowledged(s discovery.Server, highest, received position.Position) (ok bool) {
	g.view(s.Database).read(func(group *placement.Group) { ok = group.Logs.HasAll(s.ID, highest, received) })
	return ok
}

// LastAnswer returns how long ago a server last answered this instance.
func (g *Gateway) LastAnswer(database, server string) (age time.Duration, ok bool) {
	g.view(database).withLock(func(now time.Duration, group *placement.Group) { age, ok = group.LastAnswer(now, server) })
	return age, ok
}

// Probe requests a server's status over a separate connection. ErrBusy means that the server answers.
func (g *Gateway) Probe(ctx context.Context, s discovery.Server) (placement.Status, error) {
	return g.controlCall(ctx, s, noRepeat, ServerCodec.Status)
}

// ProbeUntilAnswered is like Probe, and repeats the request on the same connection every interval while the server is busy, until ctx
// ends. An interval of 0 repeats nothing.
func (g *Gateway) ProbeUntilAnswered(ctx context.Context, s discovery.Server, interval time.Duration) (placement.Status, error) {
	return g.controlCall(ctx, s, interval, ServerCodec.Status)
}

// StepDown makes a server stop leading in terms below the given one.
func (g *Gateway) StepDown(ctx context.Context, s discovery.Server, term uint64) (placement.Status, error) {
	return g.controlCall(ctx, s, noRepeat, func(c ServerCodec) { c.StepDown(term) })
}

// Pause makes a replica receive nothing until Resume, a promotion or its restart, if term is above the newest term that it knows. It is
// repeated like ProbeUntilAnswered.
func (g *Gateway) Pause(ctx context.Context, s discovery.Server, term uint64, interval time.Duration) (placement.Status, error) {
	return g.controlCall(ctx, s, interval, func(c ServerCodec) { c.Pause(term) })
}

// Resume ends a pause of a replica.
func (g *Gateway) Resume(ctx context.Context, s discovery.Server) error {
	_, err := g.controlCall(ctx, s, noRepeat, ServerCodec.Resume)
	return err
}

// noRepeat is the interval of a control call that is made once.
const noRepeat = 0

// controlCall sends one of the proxy's own requests, which is answered with a status, and repeats it every interval while the server is
// busy.
func (g *Gateway) controlCall(ctx context.Context, s discovery.Server, interval time.Duration, request func(ServerCodec)) (placement.Status, error) {
	sp := &serverPool{id: s.ID, database: s.Database, address: s.Address}
	u, err := g.pool.connect(ctx, sp, anonymousAccount)
	if errors.Is(err, errServerFull) {
		g.markAlive(s)
		return placement.Status{}, ErrBusy
	}
	if err != nil {
		return placement.Status{}, err
	}
	defer g.pool.discard(u)
	stop := context.AfterFunc(ctx, func() { _ = u.conn.SetDeadline(pastDeadline) })
	defer stop()
	for {
		var status placement.Status
		err = contain.Call(func() (err error) {
			status, err = g.exchangeStatus(s, u, request)
			return err
		})
		if !errors.Is(err, ErrBusy) || interval == noRepeat || !wait.For(ctx, interval) {
			return status, err
		}
	}
}

// exchangeStatus sends a request on a connection and reads the status that answers it.
func (g *Gateway) exchangeStatus(s discovery.Server, u *upstreamConn, request func(ServerCodec)) (placement.Status, error) {
	request(u.codec)
	if err := u.codec.Flush(); err != nil {
		return placement.Status{}, err
	}
	a, err := u.receive()
	if err != nil {
		return placement.Status{}, err
	}
	g.markAlive(s)
	switch {
	case a.code == outcome.CodeInsufficientResources:
		return placement.Status{}, ErrBusy
	case a.code != "" || len(a.rows) == 0:
		return placement.Status{}, errors.Mark(errors.Newf("the server answers a control call with error %q (%s); see whether its version knows the call",
			a.code, a.text), ErrBusy)
	}
	return g.cfg.ParseStatus(a.rows[0])
}

// SetClaim sets the newest claim of a database, which names the servers that may lead.
func (g *Gateway) SetClaim(database string, c leaderlease.Claim) {
	v := g.view(database)
	v.withLock(func(_ time.Duration, group *placement.Group) { group.SetClaim(c) })
	v.notifyChange()
}

// leadOf returns the lead for which a server may be used as the leader and its answers as one be acknowledged, or why it must not be.
func (g *Gateway) leadOf(v *view, server string) (leaderlease.Lead, placement.Objection) {
	if !g.mayUseLeader() {
		return 0, placement.LeaseExpired
	}
	return v.lead(server)
}

// ackObjection returns why an answer must not be acknowledged that a server gave as the leader to a statement sent in a lead.
func (g *Gateway) ackObjection(v *view, server string, sentIn leaderlease.Lead) placement.Objection {
	lead, why := g.leadOf(v, server)
	if why == "" && lead != sentIn {
		return placement.LeadChanged
	}
	return why
}

// recordLeader records an answer of a leader, unless it may have been replaced. Its position would not cover the commits of its successor.
func (g *Gateway) recordLeader(v *view, sent time.Duration, server string, p position.Position) {
	if _, why := g.leadOf(v, server); why == "" {
		v.markLeader(sent, server, p)
	}
}

// Retire stops sending statements to a primary whose replacement is ordered; see placement.Group.Retire.
func (g *Gateway) Retire(database, server string) {
	g.view(database).retire(server)
}

// Hold keeps new statements from a primary for a short time; see placement.Group.Hold.
func (g *Gateway) Hold(database, server string) {
	g.view(database).hold(server)
}

// markAlive records that a server answered.
func (g *Gateway) markAlive(s discovery.Server) {
	g.view(s.Database).withLock(func(now time.Duration, group *placement.Group) {
		group.MarkAlive(now, s.ID, position.Position{})
	})
}

// OnSuspect sets the callback for servers that did not answer. Call it before Serve.
func (g *Gateway) OnSuspect(f func(database, server string)) {
	g.onSuspect = f
}

// Databases returns the names of all databases that have, or had, registered servers.
func (g *Gateway) Databases() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.views))
	for name := range g.views {
		out = append(out, name)
	}
	return out
}
