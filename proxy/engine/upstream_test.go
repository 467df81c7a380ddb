package engine

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
)

const oidText = 25

// fakeServer is a small server of the PostgreSQL protocol. Its statements are:
//
//	insert...    a write, refused with 25006 while readOnly or in a read-only transaction
//	select rows N  N rows of one text column; with "die" at the end the connection closes afterwards
//	select $1    the parameter; any other select returns the connection's ID
//	change       changes a setting of the connection
//	fail, hang, die  an error; no answer until cancelled; a closed connection
type fakeServer struct {
	id              authority.ServerID
	addr            string
	readOnly        atomic.Bool
	selectErrorCode atomic.Value // SQLSTATE of the error of every select, if set
	alwaysClose     atomic.Bool  // closes connections instead of answering
	closeOnce       atomic.Bool
	writes          atomic.Uint64
	parses          atomic.Int64
	cancels         atomic.Int64
	running         chan string // receives "hang" when a hang statement begins

	nextFault func(sql string) fakeFault // returns the fault of the next statement; nil for none

	mu      sync.Mutex
	conns   map[uint32]*fakeSession
	log     []string
	applied map[string]int // committed inserts
}

type fakeSession struct {
	srv        *fakeServer
	pid        uint32
	backend    *pgproto3.Backend
	conn       net.Conn
	stmts      map[string]string
	portals    map[string]boundPortal
	status     byte
	readOnly   bool
	skipToSync bool
	canceled   chan struct{}
	pending    []string // inserts of the open transaction
}

// fakeFault is the fault of one statement.
type fakeFault int

const (
	faultNone      fakeFault = iota
	closeBeforeRun           // the connection closes without running the statement
	closeAfterRun            // the statement runs and the connection closes without an answer
	refuseAsFenced
)

type boundPortal struct {
	sql    string
	params [][]byte
}

var (
	fakesMu          sync.Mutex
	fakes            = make(map[string]*fakeServer)
	fakePIDs         atomic.Uint32
	parameterPattern = regexp.MustCompile(`\$\d+`)
)

func startFake(t testing.TB, id authority.ServerID) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{id: id, addr: ln.Addr().String(), running: make(chan string, 100), conns: make(map[uint32]*fakeSession), applied: make(map[string]int)}
	fakesMu.Lock()
	fakes[s.addr] = s
	fakesMu.Unlock()
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func cancelFake(addr string, pid uint32) {
	fakesMu.Lock()
	s := fakes[addr]
	fakesMu.Unlock()
	s.cancels.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[pid]; c != nil {
		select {
		case c.canceled <- struct{}{}:
		default:
		}
	}
}

func (s *fakeServer) lsn() uint64 { return s.writes.Load() }

// executed returns the statements that succeeded.
func (s *fakeServer) executed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.log...)
}

func (s *fakeServer) apply(inserts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range inserts {
		s.applied[i]++
	}
}

func (s *fakeServer) appliedTimes(insert string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied[insert]
}

func (s *fakeServer) serve(conn net.Conn) {
	c := &fakeSession{srv: s, pid: fakePIDs.Add(1), conn: conn, backend: pgproto3.NewBackend(conn, conn),
		stmts: make(map[string]string), portals: make(map[string]boundPortal), status: 'I',
		canceled: make(chan struct{}, 1)}
	s.mu.Lock()
	s.conns[c.pid] = c
	s.mu.Unlock()
	defer conn.Close()
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: []byte{0, 0, 0, 0}})
	for {
		if c.backend.Flush() != nil {
			return
		}
		if !c.batch() {
			return
		}
	}
}

// batch handles messages up to the next ReadyForQuery. It returns false when the connection has to be closed.
func (c *fakeSession) batch() bool {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			for _, sql := range strings.Split(m.String, ";") {
				if !c.skipToSync && strings.TrimSpace(sql) != "" && !c.execute(strings.TrimSpace(sql), nil, true) {
					return false
				}
			}
			return c.ready()
		case *pgproto3.Sync:
			return c.ready()
		default:
			if !c.skipToSync && !c.extended(m) {
				return false
			}
		}
	}
}

func (c *fakeSession) ready() bool {
	c.skipToSync = false
	if c.status == 'I' {
		clear(c.portals)
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return true
}

func (c *fakeSession) extended(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Parse:
		c.srv.parses.Add(1)
		if _, found := c.stmts[m.Name]; found && m.Name != "" {
			c.error("42P05", "exists")
			return true
		}
		c.stmts[m.Name] = m.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, found := c.stmts[m.PreparedStatement]
		if !found {
			c.error("26000", "no statement "+m.PreparedStatement)
			return true
		}
		p := boundPortal{sql: sql}
		for _, v := range m.Parameters {
			p.params = append(p.params, append([]byte(nil), v...))
		}
		c.portals[m.DestinationPortal] = p
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := c.portals[m.Name].sql
		if m.ObjectType == 'S' {
			sql = c.stmts[m.Name]
			oids := make([]uint32, len(parameterPattern.FindAllString(sql, -1)))
			for i := range oids {
				oids[i] = oidText
			}
			c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		c.describe(sql)
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		return c.execute(p.sql, p.params, false)
	case *pgproto3.Close:
		delete(c.stmts, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	}
	return true
}

func (c *fakeSession) describe(sql string) {
	if !strings.HasPrefix(sql, "select") {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("v"), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1}}})
}

func (c *fakeSession) error(code, message string) {
	c.skipToSync = true
	if c.status == 'T' {
		c.status = 'E'
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// execute returns false when the connection has to be closed.
func (c *fakeSession) execute(sql string, params [][]byte, simple bool) bool {
	lower := strings.ToLower(sql)
	word, _, _ := strings.Cut(lower, " ")
	if c.srv.alwaysClose.Load() || c.srv.closeOnce.Swap(false) {
		return false
	}
	fault := faultNone
	if c.srv.nextFault != nil {
		fault = c.srv.nextFault(lower)
	}
	switch {
	case fault == closeBeforeRun:
		return false
	case fault == refuseAsFenced && word == "insert":
		c.error("25006", "fenced")
		return true
	}
	if code, _ := c.srv.selectErrorCode.Load().(string); code != "" && word == "select" {
		c.error(code, "refused")
		return true
	}
	if c.status == 'E' && word != "rollback" && word != "commit" {
		c.error("25P02", "current transaction is aborted")
		return true
	}
	switch word {
	case "begin":
		c.status = 'T'
		c.readOnly = strings.Contains(lower, "read only")
	case "commit", "rollback":
		if strings.HasPrefix(lower, "rollback to") {
			c.status = 'T'
			break
		}
		if c.status == 'E' {
			word = "rollback"
		}
		if word == "commit" {
			c.srv.apply(c.pending...)
		}
		c.pending = nil
		c.status = 'I'
		c.readOnly = false
	case "insert":
		if c.srv.readOnly.Load() || c.readOnly {
			c.error("25006", "cannot execute INSERT in a read-only transaction")
			return true
		}
		c.srv.writes.Add(1)
		if c.status == 'I' {
			c.srv.apply(lower)
		} else {
			c.pending = append(c.pending, lower)
		}
		word = "insert 0 1"
	case "fail":
		c.error("22012", "division by zero")
		return true
	case "hang":
		c.srv.running <- "hang"
		<-c.canceled
		c.error("57014", "canceling statement due to user request")
		return true
	case "die":
		return false
	case "change":
		c.backend.Send(&pgproto3.ParameterStatus{Name: "TimeZone", Value: "CET"})
	case "select":
		if simple {
			c.describe(lower)
		}
		n := c.rows(lower, params)
		if strings.HasSuffix(lower, "die") {
			return false
		}
		word = "select " + strconv.Itoa(n)
	}
	if fault == closeAfterRun {
		return false
	}
	c.srv.mu.Lock()
	c.srv.log = append(c.srv.log, lower)
	c.srv.mu.Unlock()
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(word))})
	return true
}

func (c *fakeSession) rows(sql string, params [][]byte) int {
	if len(params) > 0 {
		c.backend.Send(&pgproto3.DataRow{Values: params[:1]})
		_ = c.backend.Flush()
		return 1
	}
	var n int
	if _, err := fmt.Sscanf(sql, "select rows %d", &n); err != nil {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strconv.Itoa(int(c.pid)))}})
		return 1
	}
	for i := range n {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 1000) + strconv.Itoa(i))}})
		if c.backend.Flush() != nil {
			return i
		}
	}
	return n
}
