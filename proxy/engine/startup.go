package engine

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
	decide "github.com/cyclamenstile/cyclamenstile/decision/session"
	"github.com/cyclamenstile/cyclamenstile/proxy/tcp"
)

// Codes of the packets that may come first on a connection. Source: PostgreSQL documentation,
// section "Message Formats".
const (
	codeCancelRequest = 80877102
	codeSSLRequest    = 80877103
	codeGSSRequest    = 80877104
	protocolMajor     = 3
	minStartupBody    = 4 // bytes
)

// maxStartupPackets bounds the encryption requests and the start-up message of one connection.
const maxStartupPackets = 3

// errStartupDone means that the connection has to be closed without an error, as after a cancel request.
var errStartupDone = errors.New("connection served")

// startup is the start-up of one connection: encryption, authentication and initial parameters.
type startup struct {
	srv            *Server
	conn           net.Conn
	encrypted      bool
	excess         bool // beyond MaxStartups: only a cancel request without TLS is served
	suppressErrors bool // the caller can't read an error message, since it waits for TLS
}

// startup returns a session that is ready for its first query. Errors that the caller can read have been
// sent to it already.
func (s *Server) startup(conn net.Conn, excess bool) (*session, error) {
	st := &startup{srv: s, conn: conn, excess: excess}
	m, err := st.firstMessage()
	if err != nil {
		return nil, st.fail(err)
	}
	sess, err := st.open(m)
	if err != nil {
		return nil, st.fail(err)
	}
	return sess, nil
}

// fail sends err to the caller if it is an outcome error. It returns err.
func (st *startup) fail(err error) error {
	e := outcome.As(err)
	if e == nil || st.suppressErrors {
		return err
	}
	_ = st.send(errorResponse(severityFatal, e))
	tcp.Linger(st.conn, lingerTimeout)
	return err
}

func (st *startup) send(messages ...pgproto3.BackendMessage) error {
	var b []byte
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			return err
		}
	}
	_, err := st.conn.Write(b)
	return err
}

// firstMessage answers encryption and cancel requests until the start-up message arrives.
func (st *startup) firstMessage() (*pgproto3.StartupMessage, error) {
	for range maxStartupPackets {
		body, err := st.readBody()
		if err != nil {
			return nil, err
		}
		m, err := st.dispatch(body)
		if m != nil || err != nil {
			return m, err
		}
	}
	return nil, errProtocol("too many encryption requests")
}

// readBody reads exactly one packet, so that no data sent in clear text is read as part of the encrypted
// stream.
func (st *startup) readBody() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(st.conn, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:])) - len(header)
	if size < minStartupBody || size > st.srv.cfg.MaxStartupSize {
		return nil, errProtocol("invalid length of startup packet")
	}
	body := make([]byte, size)
	_, err := io.ReadFull(st.conn, body)
	return body, err
}

func (st *startup) dispatch(body []byte) (*pgproto3.StartupMessage, error) {
	switch binary.BigEndian.Uint32(body) {
	case codeSSLRequest:
		return nil, st.encrypt()
	case codeGSSRequest:
		_, err := st.conn.Write([]byte{'N'})
		return nil, err
	case codeCancelRequest:
		return nil, st.cancel(body)
	}
	return st.decode(body)
}

func (st *startup) cancel(body []byte) error {
	var r pgproto3.CancelRequest
	if err := r.Decode(body); err == nil {
		st.srv.handleCancel(&r)
	}
	return errStartupDone
}

func (st *startup) encrypt() error {
	if st.encrypted {
		return errProtocol("the connection is encrypted already")
	}
	if st.srv.cfg.TLS == nil {
		_, err := st.conn.Write([]byte{'N'})
		return err
	}
	if st.excess {
		// Drivers would interpret an error here as the answer of a server that is too old for TLS.
		st.suppressErrors = true
		return errTooManyStartups()
	}
	if _, err := st.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	gated := &gatedConn{Conn: st.conn, gate: &st.srv.handshakes, ctx: st.srv.ctx}
	secure := tls.Server(gated, st.srv.cfg.TLS)
	err := secure.HandshakeContext(st.srv.ctx)
	gated.finish()
	if err != nil {
		return err
	}
	st.conn = secure
	st.encrypted = true
	return nil
}

// decode decodes the start-up message of any minor version of protocol 3.
func (st *startup) decode(body []byte) (*pgproto3.StartupMessage, error) {
	version := binary.BigEndian.Uint32(body)
	if version>>16 != protocolMajor {
		return nil, errProtocol("unsupported protocol version")
	}
	if !st.encrypted && !st.srv.cfg.AllowPlain {
		return nil, outcome.New(outcome.Denied, outcome.CodeInvalidAuthorization,
			"the connection is not encrypted", "connect with TLS (sslmode=require or stricter)")
	}
	if st.excess {
		return nil, errTooManyStartups()
	}
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, errProtocol("malformed startup packet")
	}
	m.ProtocolVersion = version
	return &m, nil
}

// open authenticates the caller and starts the session.
func (st *startup) open(m *pgproto3.StartupMessage) (*session, error) {
	user := m.Parameters["user"]
	route := m.Parameters["database"]
	if route == "" {
		route = user
	}
	if err := st.negotiate(m); err != nil {
		return nil, err
	}
	login, err := st.authenticate(route, user)
	if err != nil {
		return nil, err
	}
	sess, err := st.newSession(login)
	if err != nil {
		return nil, err
	}
	if err := sess.applyStartup(m.Parameters); err != nil {
		return nil, err
	}
	return sess, st.announce(sess)
}

// negotiate sends the supported version and the unknown options to a caller of a later minor version.
func (st *startup) negotiate(m *pgproto3.StartupMessage) error {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return nil
	}
	return st.send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
}

func (st *startup) authenticate(route, user string) (Login, error) {
	needsKey, err := st.srv.cfg.Directory.NeedsKey(route)
	if err != nil {
		return Login{}, asOutcome(err)
	}
	key := ""
	if needsKey {
		if key, err = st.readKey(); err != nil {
			return Login{}, err
		}
	}
	login, err := st.srv.cfg.Directory.Authenticate(route, user, key)
	if err != nil {
		return Login{}, asOutcome(err)
	}
	return login, nil
}

func (st *startup) readKey() (string, error) {
	if err := st.send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return "", err
	}
	var header [1]byte
	if _, err := io.ReadFull(st.conn, header[:]); err != nil {
		return "", err
	}
	if header[0] != 'p' {
		return "", errProtocol("expected a password message")
	}
	body, err := st.readBodyOrEmpty()
	if err != nil {
		return "", err
	}
	var m pgproto3.PasswordMessage
	if err := m.Decode(body); err != nil {
		return "", errProtocol("malformed password message")
	}
	return m.Password, nil
}

// readBodyOrEmpty reads a message body, which is one byte long if the key is empty.
func (st *startup) readBodyOrEmpty() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(st.conn, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:])) - len(header)
	if size < 1 || size > st.srv.cfg.MaxStartupSize {
		return nil, errProtocol("invalid length of password message")
	}
	body := make([]byte, size)
	_, err := io.ReadFull(st.conn, body)
	return body, err
}

func (st *startup) newSession(login Login) (*session, error) {
	db, err := st.srv.cfg.Directory.Database(login.Route.Database)
	if err != nil {
		return nil, asOutcome(err)
	}
	sess := &session{
		srv:    st.srv,
		conn:   st.conn,
		login:  login,
		db:     db,
		state:  decide.New(login.Route.Database, login.Route.SessionScope),
		opened: time.Now(),
	}
	sess.out = outbound{conn: st.conn, timeout: st.srv.cfg.WriteTimeout, withheldFrom: -1}
	_, err = rand.Read(sess.secret[:])
	return sess, err
}

// announce registers the session and sends the messages up to the first ReadyForQuery.
func (st *startup) announce(sess *session) error {
	if err := st.srv.register(sess); err != nil {
		return err
	}
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range st.srv.startupParameters(sess) {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: sess.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	err := st.send(messages...)
	if err == nil {
		err = sess.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		st.srv.unregister(sess)
	}
	return err
}

func errProtocol(message string) *outcome.Error {
	return outcome.New(outcome.Invalid, outcome.CodeProtocolViolation, message,
		"use a client that speaks PostgreSQL protocol 3")
}
