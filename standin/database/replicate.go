package database

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

const (
	peerProbeInterval = 20 * time.Millisecond
	peerProbeTimeout  = time.Second
	// logWait limits how long a primary holds a log request open while it has no new records.
	logWait = 100 * time.Millisecond
	// pullTimeout ends a replication link whose primary doesn't respond.
	pullTimeout = time.Second
	// maxPullRecords limits the records in one response.
	maxPullRecords = 1000
	// maxPendingPulls limits the responses whose records wait for their replication lag.
	maxPendingPulls = 1000
)

const logStatement = "SELECT * FROM cyclamenstile.log($1, $2)"

// sendLog sends the records after an LSN to a replica that follows this server as the primary of term.
// It waits up to logWait for the first record.
func (s *session) sendLog(p *portal, term uint64) (string, error) {
	after, err := strconv.ParseUint(p.args[1], 10, 64)
	if err != nil {
		return "", newSQLError(codeInvalidParameter, "the position is not a number")
	}
	records, err := s.server.state.waitForLog(term, after, s.server.stopped)
	if err != nil {
		return "", err
	}
	for _, r := range records {
		raw, err := json.Marshal(r)
		if err != nil {
			return "", errors.Wrap(err, "encode a log record")
		}
		if err := s.sendRow(p, string(raw)); err != nil {
			return "", err
		}
	}
	if s.server.peersCut.Load() {
		return "", errDisconnect
	}
	return "SELECT " + strconv.Itoa(len(records)), nil
}

func (s *state) waitForLog(term, after uint64, stop <-chan struct{}) ([]*record, error) {
	deadline := time.NewTimer(logWait)
	defer deadline.Stop()
	for {
		records, changed, err := s.readLog(term, after)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, nil
		case <-stop:
			return nil, errStopped
		}
	}
}

func (s *state) readLog(term, after uint64) ([]*record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, nil, errStopped
	}
	if s.role() != authority.RolePrimary || s.history.Term() != term || after > s.lsn() {
		return nil, nil, newSQLError(codeWrongState, "this server is not the primary of that term, or its log is shorter")
	}
	if after == s.lsn() {
		return nil, s.nextChange(), nil
	}
	end := min(after+maxPullRecords, s.lsn())
	return s.log[after:end:end], nil, nil
}

// replicator probes the other servers of the group and replicates the log of their primary.
type replicator struct {
	server *Server
	ctx    context.Context

	mu           sync.Mutex
	peerStates   map[authority.ServerID]authority.ServerState // states from probes; a failed probe removes its peer
	primaryFound chan struct{}                                // signals that a probe has found a primary
}

func startReplicator(s *Server) *replicator {
	r := &replicator{
		server:       s,
		ctx:          s.ctx,
		peerStates:   make(map[authority.ServerID]authority.ServerState),
		primaryFound: make(chan struct{}, 1),
	}
	for id, address := range s.cfg.Peers {
		if id == s.cfg.ID {
			continue
		}
		s.goroutines.Add(1)
		go r.probeLoop(id, address)
	}
	s.goroutines.Add(1)
	go r.followLoop()
	return r
}

func (r *replicator) peerConfig(id authority.ServerID, address string) dbgroup.Config {
	return dbgroup.Config{
		Server:     id,
		Address:    address,
		User:       r.user(),
		Password:   r.server.cfg.Password,
		Parameters: map[string]string{peerParameter: string(r.server.cfg.ID)},
	}
}

func (r *replicator) user() string {
	if r.server.cfg.User != "" {
		return r.server.cfg.User
	}
	return "replication"
}

// probeLoop probes one peer until the server stops.
func (r *replicator) probeLoop(id authority.ServerID, address string) {
	defer r.server.goroutines.Done()
	client, err := dbgroup.NewClient(r.peerConfig(id, address))
	if err != nil {
		return
	}
	defer client.Close()
	ticker := time.NewTicker(peerProbeInterval)
	defer ticker.Stop()
	for r.ctx.Err() == nil {
		r.probePeer(id, client)
		select {
		case <-ticker.C:
		case <-r.server.stopped:
		}
	}
}

func (r *replicator) probePeer(id authority.ServerID, client *dbgroup.Client) {
	if !r.peerLinksUp() {
		r.forgetPeer(id)
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, peerProbeTimeout)
	defer cancel()
	state, err := client.Probe(ctx)
	if err != nil || !r.peerLinksUp() {
		r.forgetPeer(id)
		return
	}
	r.server.state.recordPrimaryContact(state)
	r.mu.Lock()
	r.peerStates[id] = state
	r.mu.Unlock()
	if state.Role == authority.RolePrimary {
		select {
		case r.primaryFound <- struct{}{}:
		default:
		}
	}
}

// peerLinksUp waits until the server is not paused and reports whether its peer links are up.
func (r *replicator) peerLinksUp() bool {
	return r.server.pauseGate.wait(r.server.stopped) && !r.server.peersCut.Load()
}

func (r *replicator) forgetPeer(id authority.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peerStates, id)
}

// newestPrimary returns the peer that reports itself as the primary of the highest term.
func (r *replicator) newestPrimary() (authority.ServerID, authority.ServerState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var id authority.ServerID
	var best authority.ServerState
	for peer, state := range r.peerStates {
		if state.Role == authority.RolePrimary && state.Term > best.Term {
			id, best = peer, state
		}
	}
	return id, best, id != ""
}

func (r *replicator) followLoop() {
	defer r.server.goroutines.Done()
	for {
		select {
		case <-r.primaryFound:
		case <-r.server.stopped:
			return
		}
		if id, state, ok := r.newestPrimary(); ok {
			r.follow(id, state)
		}
	}
}

// recordPrimaryContact records contact with peer if it is a primary that this server may follow.
func (s *state) recordPrimaryContact(peer authority.ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer.Role == authority.RolePrimary && s.mayFollow(peer.Term) {
		s.lastPrimaryContact = time.Now()
	}
}

func (s *state) mayFollow(term uint64) bool {
	if s.stopped || term < s.fence.Term || term < s.history.Term() {
		return false
	}
	return term > s.history.Term() || s.role() != authority.RolePrimary
}

// prepareToFollow prepares the server to follow a primary and returns the LSN to continue from. A log
// that has diverged from the primary's is truncated to the branch point.
func (s *state) prepareToFollow(primary authority.ServerState) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayFollow(primary.Term) {
		return 0, false
	}
	if s.raiseFence(primary.Term) != nil || (s.promoted != 0 && s.setPromoted(0) != nil) {
		return 0, false
	}
	branch := branchPoint(s.history, s.lsn(), primary.History)
	if branch < s.lsn() && s.rewind(branch) != nil {
		return 0, false
	}
	s.notifyChange()
	return s.lsn(), true
}

// raiseFence raises the fence to a term that the server follows, so that lower terms are rejected.
// Otherwise a server that was rewound past the start of a term of its own would accept a delayed repeat
// of that promotion, and the term would begin twice.
func (s *state) raiseFence(term uint64) error {
	if term <= s.fence.Term {
		return nil
	}
	raised := fence{Term: term}
	if err := s.storage.append(entry{Fence: &raised}); err != nil {
		return err
	}
	s.fence = raised
	return nil
}

// branchPoint returns the LSN up to which a log with history own and length lsn agrees with the log of a
// primary whose history is at least as new.
func branchPoint(own position.History, lsn uint64, primary position.History) uint64 {
	i := 0
	for i < len(own) && i < len(primary) && own[i] == primary[i] {
		i++
	}
	if i < len(own) {
		lsn = min(lsn, own[i].Start)
	}
	if i < len(primary) {
		lsn = min(lsn, primary[i].Start)
	}
	return lsn
}

func (s *state) rewind(lsn uint64) error {
	s.dropClients()
	if err := s.storage.append(entry{Rewind: &lsn}); err != nil {
		return err
	}
	s.truncateLog(lsn)
	return s.nextIncarnation()
}

// applyReplicated applies the next record received from the primary of sourceTerm. It fails if the server
// may no longer follow that primary, for example because of a fence.
func (s *state) applyReplicated(sourceTerm uint64, rec *record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayFollow(sourceTerm) || rec.LSN != s.lsn()+1 {
		return errDisconnect
	}
	return s.appendRecord(rec)
}

// follow pulls and applies the log of a primary until the link breaks, the primary rejects a request, a
// fence forbids it or a newer primary appears. Records that still wait for their lag are then dropped.
func (r *replicator) follow(id authority.ServerID, primary authority.ServerState) {
	after, ok := r.server.state.prepareToFollow(primary)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	conn, err := r.connect(ctx, id)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(ctx) }()

	pending := make(chan []*record, maxPendingPulls)
	var applying sync.WaitGroup
	applying.Add(1)
	go func() {
		defer applying.Done()
		defer cancel()
		r.applyLoop(ctx, primary.Term, pending)
	}()
	r.pullLoop(ctx, conn, primary.Term, after, pending)
	cancel()
	applying.Wait()
}

func (r *replicator) connect(ctx context.Context, id authority.ServerID) (*pgconn.PgConn, error) {
	conf, err := dbgroup.ConnConfig(r.peerConfig(id, r.server.cfg.Peers[id]))
	if err != nil {
		return nil, err
	}
	conf.RuntimeParams[dbgroup.ControlParameter] = "on"
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, conf)
}

func (r *replicator) pullLoop(ctx context.Context, conn *pgconn.PgConn, term, after uint64, pending chan<- []*record) {
	for {
		records, err := r.pull(ctx, conn, term, after)
		if err != nil || r.superseded(term) {
			return
		}
		if len(records) == 0 {
			continue
		}
		after = records[len(records)-1].LSN
		select {
		case pending <- records:
		case <-ctx.Done():
			return
		}
	}
}

// superseded reports whether a peer has reported itself as the primary of a higher term.
func (r *replicator) superseded(term uint64) bool {
	_, state, ok := r.newestPrimary()
	return ok && state.Term > term
}

func (r *replicator) pull(ctx context.Context, conn *pgconn.PgConn, term, after uint64) ([]*record, error) {
	if !r.peerLinksUp() {
		return nil, errDisconnect
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	args := [][]byte{strconv.AppendUint(nil, term, 10), strconv.AppendUint(nil, after, 10)}
	result := conn.ExecParams(ctx, logStatement, args, nil, nil, nil).Read()
	if result.Err != nil {
		return nil, result.Err
	}
	if !r.peerLinksUp() {
		return nil, errDisconnect
	}
	records := make([]*record, len(result.Rows))
	for i, row := range result.Rows {
		records[i] = &record{}
		if err := json.Unmarshal(row[0], records[i]); err != nil {
			return nil, errors.Wrap(err, "decode a log record")
		}
	}
	return records, nil
}

// applyLoop applies records in log order once their replication lag has passed. Each record has its own
// jitter.
func (r *replicator) applyLoop(ctx context.Context, term uint64, pending <-chan []*record) {
	random := rand.New(rand.NewPCG(r.server.cfg.Seed, term))
	for {
		select {
		case records := <-pending:
			for _, rec := range records {
				if !r.waitLag(ctx, rec, random) || r.server.state.applyReplicated(term, rec) != nil {
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *replicator) waitLag(ctx context.Context, rec *record, random *rand.Rand) bool {
	lag := time.Duration(r.server.replicationLag.Load())
	if jitter := r.server.cfg.ReplicationJitter; jitter > 0 {
		lag += time.Duration(random.Int64N(int64(jitter)))
	}
	if wait := time.Until(time.Unix(0, rec.Time).Add(lag)); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	if !r.server.applyGate.wait(ctx.Done()) || !r.server.pauseGate.wait(ctx.Done()) {
		return false
	}
	return ctx.Err() == nil
}
