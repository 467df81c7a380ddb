package database

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// peerParameter is the start-up parameter in which another server of the group sends its ID.
const peerParameter = "cyclamenstile.peer"

// IncarnationParameter is the ParameterStatus that contains the incarnation of the server to which the
// client's connection belongs.
const IncarnationParameter = "cyclamenstile.incarnation"

const serverVersion = "16.0 (cyclamenstile stand-in)"

// Server is one running server of a database group.
type Server struct {
	cfg      Config
	listener net.Listener
	storage  storage
	state    *state
	locks    lockTable
	slots    chan struct{} // nil without a limit

	pauseGate gate // while closed, nothing is read, executed or sent
	applyGate gate // while closed, replicated records are not applied
	peersCut  atomic.Bool
	// Current values of Config.ServiceTime and Config.ReplicationLag, in nanoseconds.
	serviceTime, replicationLag atomic.Int64
	ctx                         context.Context // canceled when the server stops
	cancelAll                   context.CancelFunc
	stopped                     <-chan struct{} // ctx.Done()
	stopOnce                    sync.Once
	goroutines                  sync.WaitGroup
	replicator                  *replicator

	mu       sync.Mutex
	sessions map[uint32]*session
	clients  int // sessions that count against MaxConnections
	nextPID  uint32

	usage usage
}

// Start listens and serves until Kill. It returns once the server accepts connections.
func Start(c Config) (*Server, error) {
	s, err := listen(c, nil)
	if err != nil {
		return nil, err
	}
	s.serve(c.Peers)
	return s, nil
}

// listen opens the listener and the journal. The journal is a file in c.DataDir if that is set, else the given one or,
// if that is nil, a new one in memory.
func listen(c Config, journal storage) (*Server, error) {
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for server %s; choose a free address", c.ID)
	}
	s := &Server{
		cfg:      c,
		listener: listener,
		sessions: make(map[uint32]*session),
		locks:    lockTable{locks: make(map[string]*rowLock)},
	}
	s.ctx, s.cancelAll = context.WithCancel(context.Background())
	s.stopped = s.ctx.Done()
	s.SetServiceTime(c.ServiceTime)
	s.SetReplicationLag(c.ReplicationLag)
	if c.Slots > 0 {
		s.slots = make(chan struct{}, c.Slots)
	}
	if err := s.openState(journal); err != nil {
		s.cancelAll()
		_ = listener.Close()
		return nil, err
	}
	return s, nil
}

func (s *Server) openState(journal storage) error {
	if journal == nil {
		journal = &memoryStorage{}
	}
	if s.cfg.DataDir != "" {
		file, err := openFileStorage(s.cfg.DataDir)
		if err != nil {
			return err
		}
		journal = file
	}
	opened, err := openState(s.cfg.ID, journal, s.cfg.Primary, s.dropClients)
	if err != nil {
		journal.close()
		return err
	}
	s.storage, s.state = journal, opened
	return nil
}

func (s *Server) serve(peers map[authority.ServerID]string) {
	s.cfg.Peers = peers
	s.goroutines.Add(1)
	go s.acceptLoop()
	s.replicator = startReplicator(s)
}

// Address returns the listener's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server's name in its group.
func (s *Server) ID() authority.ServerID { return s.cfg.ID }

// State returns the state that a probe would report, even while the server is paused or killed.
func (s *Server) State() authority.ServerState { return s.state.snapshot() }

// Rows returns a copy of this server's table.
func (s *Server) Rows() map[string]string {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return maps.Clone(s.state.rows)
}

// Clients returns the number of client connections that count against MaxConnections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients
}

// Kill stops the server immediately, like a killed process: no more responses are sent.
func (s *Server) Kill() {
	s.stopOnce.Do(func() {
		s.state.stop()
		s.cancelAll()
		_ = s.listener.Close()
		s.dropAll()
		s.goroutines.Wait()
		s.storage.close()
	})
}

// Pause suspends reading, execution and responses, and keeps the sockets open.
func (s *Server) Pause() { s.pauseGate.close() }

// Resume ends a pause.
func (s *Server) Resume() { s.pauseGate.open() }

// CutPeers drops the replication links from and to this server while on. Clients can still connect.
func (s *Server) CutPeers(on bool) {
	s.peersCut.Store(on)
	if on {
		s.dropWhere(func(ss *session) bool { return ss.isPeer })
	}
}

// FreezeReplication stops applying replicated records while on. The link to the primary stays.
func (s *Server) FreezeReplication(on bool) {
	if on {
		s.applyGate.close()
		return
	}
	s.applyGate.open()
}

// SilenceConnections permanently silences all open connections except the replication links; new
// connections work. A statement in execution completes without a response.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		if !ss.isPeer {
			ss.silenced.Store(true)
		}
	}
}

// SetServiceTime changes the service time of later statements.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetReplicationLag changes the lag of the records that this replica applies later.
func (s *Server) SetReplicationLag(d time.Duration) { s.replicationLag.Store(int64(d)) }

func (s *Server) isRunning() bool { return s.ctx.Err() == nil }

func (s *Server) leaveSlot() {
	s.usage.endStatement()
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) checkParams(stmt *statement) error {
	for _, oid := range stmt.params {
		if oid == 0 {
			return newSQLError(codeSyntax, "a parameter number is missing in the statement")
		}
	}
	return nil
}

func (s *Server) dropAll() { s.dropWhere(func(*session) bool { return true }) }

// dropClients closes all connections except the replication links.
func (s *Server) dropClients() { s.dropWhere(func(ss *session) bool { return !ss.isPeer }) }

func (s *Server) dropWhere(match func(*session) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		if match(ss) {
			_ = ss.conn.Close()
		}
	}
}

func (s *Server) acceptLoop() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serveConn(conn)
		}()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	removeHook := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer removeHook()
	ss := newSession(s, conn)
	if err := ss.startUp(); err != nil {
		return
	}
	defer s.unregister(ss)
	_ = ss.serve()
}

// startUp handles everything up to the first ReadyForQuery and registers the session.
func (s *session) startUp() error {
	params, err := s.receiveStartup()
	if err != nil {
		return err
	}
	s.isControl = params[dbgroup.ControlParameter] == "on"
	s.isPeer = params[peerParameter] != ""
	if !s.server.pauseGate.wait(s.server.stopped) {
		return errStopped
	}
	if err := s.authenticate(params["user"]); err != nil {
		return s.rejectStartup(err)
	}
	incarnation, err := s.openSession()
	if err != nil {
		return s.rejectStartup(err)
	}
	if err := s.sendGreeting(incarnation); err != nil {
		s.server.unregister(s)
		return err
	}
	return nil
}

// receiveStartup returns the parameters of the startup message. It declines encryption requests with 'N'
// and handles cancel requests, after which the connection ends.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		if !s.server.pauseGate.wait(s.server.stopped) {
			return nil, errStopped
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.server.handleCancel(m)
			return nil, errDisconnect
		case *pgproto3.StartupMessage:
			s.negotiate(m)
			return m.Parameters, nil
		}
	}
}

// negotiate informs clients that request a later minor version that only 3.0 is supported.
func (s *session) negotiate(m *pgproto3.StartupMessage) {
	if m.ProtocolVersion > pgproto3.ProtocolVersion30 {
		s.backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0})
	}
}

// openSession waits for the connection cost and registers the session.
func (s *session) openSession() (incarnation uint64, err error) {
	if !s.isControl {
		s.server.usage.beginOpening()
		defer s.server.usage.endOpening()
	}
	if err := s.sleep(s.server.cfg.ConnectCost); err != nil {
		return 0, err
	}
	return s.server.register(s)
}

func (s *session) authenticate(user string) error {
	cfg := s.server.cfg
	if cfg.User != "" && user != cfg.User {
		return newSQLError(codeInvalidPassword, "role \""+user+"\" does not exist")
	}
	if cfg.Password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	msg, err := s.backend.Receive()
	if err != nil {
		return err
	}
	if m, ok := msg.(*pgproto3.PasswordMessage); !ok || m.Password != cfg.Password {
		return newSQLError(codeInvalidPassword, "password authentication failed for user \""+user+"\"")
	}
	return nil
}

func (s *session) rejectStartup(err error) error {
	s.backend.Send(errorResponse(err, "FATAL"))
	_ = s.flush()
	return err
}

func (s *session) sendGreeting(incarnation uint64) error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{IncarnationParameter, strconv.FormatUint(incarnation, 10)},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	return s.ready()
}

// register adds the session and returns the incarnation that it belongs to. The state's lock prevents a
// concurrent rewind, which drops the registered sessions.
func (s *Server) register(ss *session) (uint64, error) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ss.isControl && s.cfg.MaxConnections > 0 && s.clients >= s.cfg.MaxConnections {
		s.usage.refused()
		return 0, newSQLError(codeTooManyConnections, "sorry, too many clients already")
	}
	if !ss.isControl {
		s.clients++
		s.usage.opened()
	}
	s.nextPID++
	ss.pid = s.nextPID
	ss.secret = randomSecret()
	s.sessions[ss.pid] = ss
	return s.state.incarnation, nil
}

func randomSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails, see the documentation of crypto/rand
	return binary.BigEndian.Uint32(b[:])
}

func (s *Server) unregister(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss.pid)
	if !ss.isControl {
		s.clients--
		s.usage.closed()
	}
}

// sessionActivity returns the state and the wait event of a session as in pg_stat_activity, and false if
// there is no such session. The only wait event that it reports is ClientWrite.
func (s *Server) sessionActivity(pid uint32) (state, waitEvent string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss := s.sessions[pid]
	if ss == nil {
		return "", "", false
	}
	if ss.writing.Load() {
		waitEvent = "ClientWrite"
	}
	state, ok = ss.activity.Load().(string)
	return state, waitEvent, ok
}

// terminate ends a session and reports whether it existed.
func (s *Server) terminate(pid uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss := s.sessions[pid]
	if ss == nil {
		return false
	}
	ss.cancelStatement()
	_ = ss.conn.Close()
	return true
}

func (s *Server) handleCancel(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss := s.sessions[m.ProcessID]
	if ss == nil || len(m.SecretKey) != 4 {
		return
	}
	if binary.BigEndian.Uint32(m.SecretKey) == ss.secret {
		ss.cancelStatement()
	}
}

var _ io.Closer = (*Server)(nil)

// Close stops the server like Kill. It implements io.Closer.
func (s *Server) Close() error {
	s.Kill()
	return nil
}
