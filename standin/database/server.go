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

// peerParameter is the start-up parameter by which a server of the group names itself.
const peerParameter = "cyclamenstile.peer"

// IncarnationParameter is the ParameterStatus that tells a client which incarnation of the server
// its connection belongs to.
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

	pause  gate // shut: nothing is read, executed or answered
	freeze gate // shut: replicated records are not applied
	cut    atomic.Bool
	// Present values of Config.ServiceTime and Config.ReplicationLag, in nanoseconds.
	serviceTime, lag atomic.Int64
	ctx              context.Context // ends with the server
	cancelAll        context.CancelFunc
	stop             <-chan struct{} // ctx.Done()
	stopOnce         sync.Once
	running          sync.WaitGroup
	replicate        *replicator

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

// listen opens the listener and the journal. A nil storage is opened as c tells.
func listen(c Config, st storage) (*Server, error) {
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
	s.stop = s.ctx.Done()
	s.SetServiceTime(c.ServiceTime)
	s.SetReplicationLag(c.ReplicationLag)
	if c.Slots > 0 {
		s.slots = make(chan struct{}, c.Slots)
	}
	if err := s.openState(st); err != nil {
		s.cancelAll()
		_ = listener.Close()
		return nil, err
	}
	return s, nil
}

func (s *Server) openState(st storage) error {
	if st == nil {
		st = &memoryStorage{}
	}
	if s.cfg.DataDir != "" {
		file, err := openFileStorage(s.cfg.DataDir)
		if err != nil {
			return err
		}
		st = file
	}
	opened, err := openState(s.cfg.ID, st, s.cfg.Primary, s.dropClients)
	if err != nil {
		st.close()
		return err
	}
	s.storage, s.state = st, opened
	return nil
}

func (s *Server) serve(peers map[authority.ServerID]string) {
	s.cfg.Peers = peers
	s.running.Add(1)
	go s.acceptLoop()
	s.replicate = startReplicator(s)
}

// Address returns the listener's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server's name in its group.
func (s *Server) ID() authority.ServerID { return s.cfg.ID }

// State returns what a probe would show, also while the server is paused or killed.
func (s *Server) State() authority.ServerState { return s.state.snapshot() }

// Rows returns a copy of the table as this server shows it.
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

// Kill ends the server at once, as a killed process ends: nothing is answered any more.
func (s *Server) Kill() {
	s.stopOnce.Do(func() {
		s.state.stop()
		s.cancelAll()
		_ = s.listener.Close()
		s.dropAll()
		s.running.Wait()
		s.storage.close()
	})
}

// Pause stops all reading, execution and answering, and keeps the sockets open.
func (s *Server) Pause() { s.pause.close() }

// Resume ends a Pause.
func (s *Server) Resume() { s.pause.open() }

// CutPeers drops the replication links from and to this server while on. Clients still reach it.
func (s *Server) CutPeers(on bool) {
	s.cut.Store(on)
	if on {
		s.dropWhere(func(ss *session) bool { return ss.peer })
	}
}

// FreezeReplication stops applying replicated records while on. The link to the primary stays.
func (s *Server) FreezeReplication(on bool) {
	if on {
		s.freeze.close()
		return
	}
	s.freeze.open()
}

// SilenceConnections makes all open connections but the replication links silent for good, while
// new ones work. A statement in execution completes without an answer.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		if !ss.peer {
			ss.silent.Store(true)
		}
	}
}

// SetServiceTime changes the service time of the statements that start from now on.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetReplicationLag changes the lag of the records that this replica applies from now on.
func (s *Server) SetReplicationLag(d time.Duration) { s.lag.Store(int64(d)) }

func (s *Server) alive() bool { return s.ctx.Err() == nil }

func (s *Server) leaveSlot() {
	s.usage.endStatement()
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) checkParams(stmt *statement) error {
	for _, oid := range stmt.params {
		if oid == 0 {
			return newError(codeSyntax, "a parameter number is missing in the statement")
		}
	}
	return nil
}

func (s *Server) dropAll() { s.dropWhere(func(*session) bool { return true }) }

// dropClients closes all connections but the replication links.
func (s *Server) dropClients() { s.dropWhere(func(ss *session) bool { return !ss.peer }) }

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
	defer s.running.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.serveConn(conn)
		}()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	stopped := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stopped()
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
	s.control = params[dbgroup.ControlParameter] == "on"
	s.peer = params[peerParameter] != ""
	if !s.server.pause.wait(s.server.stop) {
		return errStopped
	}
	if err := s.authenticate(params["user"]); err != nil {
		return s.refuse(err)
	}
	incarnation, err := s.open()
	if err != nil {
		return s.refuse(err)
	}
	if err := s.greet(incarnation); err != nil {
		s.server.unregister(s)
		return err
	}
	return nil
}

// receiveStartup answers encryption requests with 'N' and handles cancel requests, which end the
// connection.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		if !s.server.pause.wait(s.server.stop) {
			return nil, errStopped
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(m)
			return nil, errDisconnect
		case *pgproto3.StartupMessage:
			s.negotiate(m)
			return m.Parameters, nil
		}
	}
}

// negotiate tells clients that ask for a later minor version that 3.0 is spoken.
func (s *session) negotiate(m *pgproto3.StartupMessage) {
	if m.ProtocolVersion > pgproto3.ProtocolVersion30 {
		s.backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0})
	}
}

// open spends the cost of a new connection and registers the session.
func (s *session) open() (incarnation uint64, err error) {
	if !s.control {
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
		return newError(codeInvalidPassword, "role \""+user+"\" does not exist")
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
		return newError(codeInvalidPassword, "password authentication failed for user \""+user+"\"")
	}
	return nil
}

func (s *session) refuse(err error) error {
	s.backend.Send(errorResponse(err, "FATAL"))
	_ = s.flush()
	return err
}

func (s *session) greet(incarnation uint64) error {
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

// register counts the session and returns the incarnation that it belongs to. The state's lock
// keeps a rewind, which drops the registered sessions, from happening in between.
func (s *Server) register(ss *session) (uint64, error) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ss.control && s.cfg.MaxConnections > 0 && s.clients >= s.cfg.MaxConnections {
		s.usage.refused()
		return 0, newError(codeTooManyConnections, "sorry, too many clients already")
	}
	if !ss.control {
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
	_, _ = rand.Read(b[:]) // never fails, see the package documentation
	return binary.BigEndian.Uint32(b[:])
}

func (s *Server) unregister(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss.pid)
	if !ss.control {
		s.clients--
		s.usage.closed()
	}
}

// activityOf returns the state and the wait event of a session in pg_stat_activity, false if there is
// none. Of the wait events it knows ClientWrite only.
func (s *Server) activityOf(pid uint32) (state, waitEvent string, ok bool) {
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

// terminate ends a session and reports whether there is one.
func (s *Server) terminate(pid uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss := s.sessions[pid]
	if ss == nil {
		return false
	}
	ss.cancel()
	_ = ss.conn.Close()
	return true
}

func (s *Server) cancel(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss := s.sessions[m.ProcessID]
	if ss == nil || len(m.SecretKey) != 4 {
		return
	}
	if binary.BigEndian.Uint32(m.SecretKey) == ss.secret {
		ss.cancel()
	}
}

var _ io.Closer = (*Server)(nil)

// Close is Kill.
func (s *Server) Close() error {
	s.Kill()
	return nil
}
