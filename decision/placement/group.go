package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/leaderlease"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/succession"
)

const (
	// denialPeriod is how long a server that denied being the leader is not tried again, unless its entry
	// shows a promotion or a restart. A promotion takes some hundred milliseconds to become visible.
	denialPeriod = 150 * time.Millisecond
	// initialBackoff is how long a server is skipped after a failed connection. It doubles with each further
	// failure after that time, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// missingGracePeriod is how long a server whose entry is missing is kept, so that a leader stays in use: entries
	// that expired during a store outage reappear within about two seconds of its end, and a hand-over takes up to
	// two more seconds.
	missingGracePeriod = 4500 * time.Millisecond
	// retirementPeriod is how long a server that another one is replacing is not used as the leader, unless its entry
	// shows a promotion. It covers the wait for instances that can't be told, the order and the time until the
	// successor's entry shows its promotion.
	retirementPeriod = 6 * time.Second
	// holdPeriod is how long a primary gets nothing new that has no room for the order to step down. It is renewed while that is so,
	// and short, since nothing else ends it if the instance that orders is lost.
	holdPeriod = 500 * time.Millisecond
	// initialLagPeriod is how long a replica that lacked a position is skipped for positions above its own. It doubles with
	// each further refusal up to maxLagPeriod, until the replica is known to have reached the position that it lacked.
	initialLagPeriod = 200 * time.Millisecond
	maxLagPeriod     = 1600 * time.Millisecond
	// parallelStatements is the number of statements of one instance that a server is expected to run in parallel.
	parallelStatements = 2
	// backlogLifetime is the time after which a scheduler's expected wait says nothing about its queue any more.
	backlogLifetime = 500 * time.Millisecond
	// Assumed round-trip times within a region and between regions.
	roundTripNear = time.Millisecond
	roundTripFar  = 50 * time.Millisecond
	// initialServiceTime is the assumed service time until one has been measured.
	initialServiceTime = 20 * time.Millisecond
	// serviceSmoothing is the weight of a new measurement in the moving average of service times.
	serviceSmoothing = 0.15
	// serviceHalfLife is the time without a measurement after which the excess of a server's average over
	// initialServiceTime is halved, so that a server that was slow is tried again.
	serviceHalfLife = 2 * time.Second
)

// Locality is the location of an instance or a server.
type Locality struct {
	Region        string
	FailureDomain string
}

// server is the state that one instance keeps about one server.
type server struct {
	discovery.Server
	missingSince time.Duration // since when its entry is missing; 0 if it is present
	serviceTime  time.Duration // moving average of the time from request to answer, less the round trip
	servedAt     time.Duration
	inFlight     int
	failures     int // since the last answer
	backoffUntil time.Duration
	deniedAt     time.Duration // when it denied being the leader; 0 if it did not
	promotedIn   uint64        // revision of the entry that showed its promotion; 0 if another server was promoted since
	retiredAt    time.Duration // when its replacement was ordered; 0 if it was not
	heldUntil    time.Duration // until when it gets nothing new
	ledAt        time.Duration // when it last proved to be the leader; 0 if never
	position     position.Position
	answeredAt   time.Duration // 0 if never
	laggedAt     time.Duration
	lagPeriod    time.Duration     // how long it is skipped since laggedAt; 0 if it has caught up
	lacked       position.Position // the position that it lacked at laggedAt
	backlog      time.Duration     // expected wait at the server's scheduler
	backlogAt    time.Duration     // when the scheduler said so
}

// Group is one instance's view of the servers of a database. It is not safe for concurrent use.
type Group struct {
	local   Locality
	servers map[string]*server
	Samples Samples
	// Logs tells which logs have all that their servers acknowledged.
	Logs *succession.Logs
	// claim names the servers that may lead.
	claim leaderlease.Claim
	// superseded holds the start times of the servers whose entries claimed to be the primary when another server was
	// promoted. It outlives their entries, which expire and return while such a server is cut off from the store.
	superseded map[string]int64
	// noSuccessorUntil is until when no server is known that could replace an evacuated leader.
	noSuccessorUntil time.Duration
}

// NewGroup returns the empty view of an instance in the given locality.
func NewGroup(local Locality) *Group {
	return &Group{local: local, servers: map[string]*server{}, superseded: map[string]int64{}, Logs: succession.NewLogs()}
}

// Register updates the group from the entries of all servers of the database. A server whose entry is missing is
// kept for missingGracePeriod.
func (g *Group) Register(now time.Duration, entries []discovery.Server) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		g.Logs.Register(now, e.ID, e.Address, e.Started)
		g.register(e)
	}
	for id, s := range g.servers {
		switch {
		case present[id]:
			s.missingSince = 0
		case s.missingSince == 0:
			s.missingSince = now
		}
	}
	g.Expire(now)
}

func (g *Group) register(e discovery.Server) {
	s, known := g.servers[e.ID]
	if !known || s.Started != e.Started || s.Address != e.Address {
		s = &server{Server: e, serviceTime: initialServiceTime}
		g.servers[e.ID] = s
		started, superseded := g.superseded[e.ID]
		if e.Primary && !(superseded && started == e.Started) {
			s.promotedIn = e.Revision
		}
		return
	}
	if e.Primary && !s.Primary {
		g.recordPromotion(s)
		s.promotedIn = e.Revision
	}
	if !e.Primary {
		delete(g.superseded, e.ID)
	}
	s.Server = e
}

// recordPromotion records that a server's entry shows its promotion, after which no other server is the leader.
func (g *Group) recordPromotion(s *server) {
	for _, other := range g.servers {
		other.ledAt = 0
		if other != s && other.Primary {
			g.superseded[other.ID] = other.Started
			other.promotedIn = 0
		}
	}
	delete(g.superseded, s.ID)
	s.deniedAt, s.retiredAt, s.heldUntil = 0, 0, 0
}

// Expire removes servers whose entries have been missing for missingGracePeriod. It reports whether any was
// removed.
func (g *Group) Expire(now time.Duration) bool {
	before := len(g.servers)
	for id, s := range g.servers {
		if s.missingSince != 0 && now-s.missingSince > missingGracePeriod {
			delete(g.servers, id)
		}
	}
	return len(g.servers) != before
}

// Server returns the entry of a server.
func (g *Group) Server(id string) (discovery.Server, bool) {
	s, ok := g.servers[id]
	if !ok {
		return discovery.Server{}, false
	}
	return s.Server, true
}

// Empty reports whether the group has no server.
func (g *Group) Empty() bool {
	return len(g.servers) == 0
}

// Servers returns the entries of all servers, sorted by ID.
func (g *Group) Servers() []discovery.Server {
	out := make([]discovery.Server, 0, len(g.servers))
	for _, s := range g.servers {
		out = append(out, s.Server)
	}
	slices.SortFunc(out, func(a, b discovery.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Missing reports whether the entry of a server is missing.
func (g *Group) Missing(id string) bool {
	s, ok := g.servers[id]
	return !ok || s.missingSince != 0
}

// RecordSent counts a statement as in flight to a server until RecordAnswer or RecordAbandoned is called.
func (g *Group) RecordSent(id string) {
	if s := g.servers[id]; s != nil {
		s.inFlight++
	}
}

// RecordAnswer records that a server answered after the given time, and the end of its log.
func (g *Group) RecordAnswer(now time.Duration, id string, took time.Duration, p position.Position) {
	s := g.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	g.MarkAlive(now, id, p)
	service := max(took-s.roundTrip(g.local), 0)
	s.serviceTime += time.Duration(serviceSmoothing * float64(service-s.decayedServiceTime(now)))
	s.servedAt = now
}

// RecordBacklog records the expected wait that the scheduler of a server has announced.
func (g *Group) RecordBacklog(now time.Duration, id string, wait time.Duration) {
	if s := g.servers[id]; s != nil {
		s.backlog, s.backlogAt = wait, now
	}
}

// MarkAlive records any response of a server and the end of its log. p may be zero.
func (g *Group) MarkAlive(now time.Duration, id string, p position.Position) {
	s := g.servers[id]
	if s == nil {
		return
	}
	s.failures = 0
	s.backoffUntil = 0
	s.answeredAt = now
	s.position = position.Max(s.position, p)
	g.Logs.Record(id, p)
	if !s.position.Less(s.lacked) {
		s.lagPeriod = 0
	}
}

// RecordAbandoned records that a statement counted by RecordSent ended without an answer.
func (g *Group) RecordAbandoned(id string) {
	if s := g.servers[id]; s != nil {
		s.inFlight = max(s.inFlight-1, 0)
	}
}

// MarkUnreachable records a failed connection to a server.
func (g *Group) MarkUnreachable(now time.Duration, id string) {
	s := g.servers[id]
	if s == nil || now < s.backoffUntil { // several statements found out the same
		return
	}
	s.failures++
	s.backoffUntil = now + min(initialBackoff<<min(s.failures-1, 10), maxBackoff)
}

// MarkLeader records that a server proved to be the leader by its answer to a request sent at the given time.
func (g *Group) MarkLeader(now, sent time.Duration, id string, p position.Position) {
	s := g.servers[id]
	if s == nil {
		return
	}
	s.ledAt = now
	s.deniedAt = 0
	g.Logs.RecordLeader(sent, id, p)
	g.Samples.Add(sent, p)
}

// MarkNotLeader records that a server denied being the leader.
func (g *Group) MarkNotLeader(now time.Duration, id string) {
	if s := g.servers[id]; s != nil {
		s.deniedAt = now
		s.ledAt = 0
	}
}

// Retire records that the replacement of a leader is ordered. Where the platform doesn't end the lead of the former
// primary, statements must not be sent to it any more.
func (g *Group) Retire(now time.Duration, id string) {
	if s := g.servers[id]; s != nil {
		s.retiredAt = now
	}
}

// Hold keeps new statements from a primary that is to step down and has no room for the order, for holdPeriod. Open transactions go on.
// Load: a leaving primary that gets more statements than it runs, so that a control call never finds a free slot.
func (g *Group) Hold(now time.Duration, id string) {
	if s := g.servers[id]; s != nil {
		s.heldUntil = now + holdPeriod
	}
}

// Held reports whether a server gets nothing new now.
func (g *Group) Held(now time.Duration, id string) bool {
	s := g.servers[id]
	return s != nil && s.heldUntil > now
}

func (s *server) isRetired(now time.Duration) bool {
	return s.retiredAt != 0 && now-s.retiredAt < retirementPeriod
}

// Objection is a reason why a server must not be used as the leader; empty for none.
type Objection string

const (
	// Retired: the replacement of the server is ordered.
	Retired Objection = "replacement_ordered"
	// Excluded: a claim names another server as the leader.
	Excluded Objection = "another_claimed"
	// LeadChanged: the server was replaced and claimed again since the statement was sent.
	LeadChanged Objection = "claimed_again"
	// LeaseExpired: this instance can't know whether another server was claimed as the leader.
	LeaseExpired Objection = "lease_expired"
)

// SetClaim records the newest claim of the database.
func (g *Group) SetClaim(c leaderlease.Claim) {
	for id, s := range g.servers {
		before, _ := g.claim.LeadOf(id)
		if lead, allowed := c.LeadOf(id); !allowed || lead != before {
			s.ledAt = 0 // it has proved another lead
		}
	}
	g.claim = c
}

// Lead returns the lead for which a server may be used as the leader, or why it must not be. Without leases there
// is no claim, and all are allowed.
func (g *Group) Lead(now time.Duration, id string) (leaderlease.Lead, Objection) {
	lead, allowed := g.claim.LeadOf(id)
	s := g.servers[id]
	switch {
	case !allowed:
		return 0, Excluded
	case s == nil:
		return lead, ""
	case s.isRetired(now):
		return 0, Retired
	}
	return lead, ""
}

// MarkLagging records that a replica lacked a requested position. Load: a replica that is cut off from its primary, with reads of
// 60 instances that need a position of the last second.
func (g *Group) MarkLagging(now time.Duration, id string, lacked position.Position) {
	s := g.servers[id]
	if s == nil {
		return
	}
	if now-s.laggedAt >= s.lagPeriod { // otherwise several statements found out the same
		s.lagPeriod = min(max(2*s.lagPeriod, initialLagPeriod), maxLagPeriod)
	}
	s.laggedAt, s.lacked = now, lacked
}

// Leader returns the server that is most likely the leader. If none is known, it returns one that has not denied
// being the leader recently, because a promotion is visible at the server before it is in the server's entry. It returns none
// while the leader is known and excluded, for example because its queue is full: the others would only deny being it. Load: a
// primary that gets more reads than it runs, while its replicas lack the position that the reads need.
func (g *Group) Leader(now time.Duration, exclude []string) (id string, ok bool) {
	var best *server
	promotedIn := g.lastPromotion()
	for _, s := range g.servers {
		unusable := s.Evacuated || s.Leaving && s.ledAt == 0 || s.backoffUntil > now || s.recentlyDenied(now) || s.isRetired(now) || s.heldUntil > now ||
			s.Primary && s.promotedIn < promotedIn || !g.claim.Allows(s.ID)
		excluded := slices.Contains(exclude, s.ID)
		if unusable || excluded && s.ledAt == 0 {
			continue
		}
		if best == nil || likelierLeader(s, best) {
			best = s
		}
	}
	if best == nil || slices.Contains(exclude, best.ID) {
		return "", false
	}
	return best.ID, true
}

// lastPromotion returns the highest promotedIn of the servers that may lead and whose entries claim to be the primary. Others that
// claim it too have been replaced without noticing it yet, and may still accept statements.
func (g *Group) lastPromotion() uint64 {
	var last uint64
	for _, s := range g.servers {
		if s.Primary && g.claim.Allows(s.ID) {
			last = max(last, s.promotedIn)
		}
	}
	return last
}

// Primary returns the known leader: the server that proved it most recently, otherwise one whose entry claims it. One that may not
// lead is returned only if there is no other.
func (g *Group) Primary() (id string, ok bool) {
	var best *server
	for _, s := range g.servers {
		if (s.ledAt != 0 || s.Primary && s.deniedAt == 0) && (best == nil || g.likelierPrimary(s, best)) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// LastAnswer returns the time since a server's last answer.
func (g *Group) LastAnswer(now time.Duration, id string) (age time.Duration, ok bool) {
	s := g.servers[id]
	if s == nil || s.answeredAt == 0 {
		return 0, false
	}
	return now - s.answeredAt, true
}

func (s *server) recentlyDenied(now time.Duration) bool {
	return s.deniedAt != 0 && now-s.deniedAt < denialPeriod
}

func (g *Group) likelierPrimary(a, b *server) bool {
	if mayLead := g.claim.Allows(a.ID); mayLead != g.claim.Allows(b.ID) {
		return mayLead
	}
	return likelierLeader(a, b)
}

// likelierLeader reports whether a is more likely than b to be the leader.
func likelierLeader(a, b *server) bool {
	if a.ledAt != b.ledAt {
		return a.ledAt > b.ledAt
	}
	aClaims, bClaims := a.Primary && a.deniedAt == 0, b.Primary && b.deniedAt == 0
	if aClaims != bClaims {
		return aClaims
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.ID < b.ID
}

// Replica returns the server that is expected to answer a read with the given floor first. alone reports that no other server is
// expected to answer it.
func (g *Group) Replica(now time.Duration, floor position.Position, exclude []string) (id string, alone, ok bool) {
	var best *server
	var bestCost time.Duration
	suitable := 0
	for _, s := range g.servers {
		if s.Evacuated || s.Leaving || s.missingSince != 0 || s.backoffUntil > now || s.heldUntil > now || slices.Contains(exclude, s.ID) || s.isBehind(now, floor) {
			continue
		}
		suitable++
		cost := s.cost(now, g.local)
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return "", false, false
	}
	return best.ID, suitable == 1, true
}

// isBehind reports whether a replica recently lacked a position and is not known to have reached the floor since.
func (s *server) isBehind(now time.Duration, floor position.Position) bool {
	return s.lagPeriod != 0 && now-s.laggedAt < s.lagPeriod && s.position.Less(floor)
}

// cost returns the expected time until the answer to one more statement. Beyond parallelStatements statements of this
// instance, a statement waits for the ones before it.
func (s *server) cost(now time.Duration, local Locality) time.Duration {
	ahead := max(s.inFlight+1-parallelStatements, 0)
	service := s.decayedServiceTime(now)
	return s.roundTrip(local) + s.decayedBacklog(now) + service + service*time.Duration(ahead)/parallelStatements
}

// decayedBacklog returns the expected wait at the scheduler, which decays to nothing without news.
func (s *server) decayedBacklog(now time.Duration) time.Duration {
	left := backlogLifetime - (now - s.backlogAt)
	if s.backlog == 0 || left <= 0 {
		return 0
	}
	return time.Duration(float64(s.backlog) * float64(left) / float64(backlogLifetime))
}

func (s *server) roundTrip(local Locality) time.Duration {
	if s.Region == local.Region {
		return roundTripNear
	}
	return roundTripFar
}

func (s *server) decayedServiceTime(now time.Duration) time.Duration {
	if s.serviceTime <= initialServiceTime || s.servedAt == 0 {
		return s.serviceTime
	}
	excess := s.serviceTime - initialServiceTime
	for idle := now - s.servedAt; idle >= serviceHalfLife && excess > 0; idle -= serviceHalfLife {
		excess /= 2
	}
	return initialServiceTime + excess
}
