package database

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// Limits of SELECT repeat(...) FROM generate_series(...).
const (
	maxRepeat = 1 << 20
	maxSeries = 1 << 30
)

// execute runs a bound statement, sends its rows and returns its command tag.
func (s *session) execute(p *portal) (string, error) {
	select {
	case <-s.interrupt: // a cancel request for an earlier statement
	default:
	}
	s.executing.Store(true)
	defer s.executing.Store(false)

	if p.stmt.isControl() {
		return s.executeControl(p)
	}
	if s.isControl {
		return "", newSQLError(codeInsufficientRights, "a control connection runs control functions only")
	}
	switch p.stmt.kind {
	case stmtCommit, stmtRollback:
		return s.endTransaction(p.stmt.kind)
	}
	if s.txnFailed {
		return "", errTransactionAborted
	}
	switch p.stmt.kind {
	case stmtBegin:
		return s.beginTransaction(p.stmt)
	case stmtShowReadOnly:
		return "SHOW", s.sendRow(p, s.readOnlySetting())
	}
	return s.executeInSlot(p)
}

func (s *session) beginTransaction(stmt *statement) (string, error) {
	if s.txn == nil {
		s.txn = &transaction{}
	}
	s.txn.implicit = false
	s.txn.readOnly = stmt.readOnly
	return "BEGIN", nil
}

func (s *session) endTransaction(kind statementKind) (string, error) {
	if s.txnFailed || kind == stmtRollback {
		s.txnFailed = false
		s.abortTransaction()
		return "ROLLBACK", nil
	}
	if s.txn == nil {
		return "COMMIT", nil
	}
	return "COMMIT", s.commitInSlot()
}

// commitInSlot commits the transaction block, in a slot if it has writes. An error ends the block.
func (s *session) commitInSlot() error {
	s.txn.implicit = true
	if len(s.txn.ops) > 0 {
		if err := s.enterSlot(); err != nil {
			return err
		}
		defer s.server.leaveSlot()
	}
	return s.commit()
}

func (s *session) readOnlySetting() string {
	if s.txn != nil && s.txn.readOnly || s.server.state.checkWritable() != nil {
		return "on"
	}
	return "off"
}

func (s *session) executeInSlot(p *portal) (string, error) {
	if p.stmt.isWrite() {
		if err := s.prepareWrite(p); err != nil {
			return "", err
		}
	}
	if !p.stmt.usesSlot() {
		return s.run(p)
	}
	if err := s.enterSlot(); err != nil {
		return "", err
	}
	defer s.server.leaveSlot()
	return s.run(p)
}

// enterSlot waits for a slot and sleeps for the service time. After an error no slot is held.
func (s *session) enterSlot() error {
	srv := s.server
	srv.usage.beginStatement()
	if srv.slots != nil {
		select {
		case srv.slots <- struct{}{}:
		case <-s.interrupt:
			srv.usage.endStatement()
			return errCanceled
		case <-srv.stopped:
			srv.usage.endStatement()
			return errStopped
		}
	}
	err := s.sleep(time.Duration(srv.serviceTime.Load()))
	if err == nil && !srv.pauseGate.wait(srv.stopped) {
		err = errStopped
	}
	if err != nil {
		srv.leaveSlot()
	}
	return err
}

func (s *session) sleep(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if d <= maxPreciseSleep && s.sleepPrecisely(d) {
		return s.checkInterruptOrStop()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.interrupt:
		return errCanceled
	case <-s.server.stopped:
		return errStopped
	}
}

// maxPreciseSleep is the longest sleep on a precise timer, which a cancel request doesn't interrupt. The
// runtime's timers are rounded up to the next millisecond while the process is idle and are exact while
// it is busy, so that with them a busier proxy appeared to be faster.
const maxPreciseSleep = 2 * time.Millisecond

// sleepPrecisely sleeps for d. It returns false if no precise timer is available.
func (s *session) sleepPrecisely(d time.Duration) bool {
	if s.preciseTimer == nil {
		s.preciseTimer = newPreciseTimer()
	}
	return s.preciseTimer != nil && s.preciseTimer.wait(d)
}

func (s *session) checkInterruptOrStop() error {
	select {
	case <-s.server.stopped:
		return errStopped
	default:
		return s.checkInterrupt()
	}
}

// prepareWrite checks that the session may write and locks the rows. Locks are acquired before a slot,
// so that sessions waiting for a lock don't occupy the slots that its holder needs.
func (s *session) prepareWrite(p *portal) error {
	if s.txn != nil && s.txn.readOnly {
		return errReadOnly
	}
	if err := s.server.state.checkWritable(); err != nil {
		return err
	}
	if s.txn == nil {
		s.txn = &transaction{implicit: true}
	}
	for _, key := range p.writtenKeys() {
		err := s.server.locks.acquire(s.txn, key, s.server.cfg.LockTimeout, s.interrupt, s.server.stopped)
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *portal) writtenKeys() []string {
	if p.stmt.kind != stmtInsert {
		return p.args[len(p.args)-1:]
	}
	var keys []string
	for i := 0; i < len(p.args); i += 2 {
		keys = append(keys, p.args[i])
	}
	return keys
}

func (s *session) run(p *portal) (string, error) {
	switch p.stmt.kind {
	case stmtSelectOne:
		return "SELECT 1", s.sendRow(p, "1")
	case stmtSelectValue:
		return s.selectValue(p)
	case stmtSelectAll:
		return s.selectAll(p)
	case stmtSleep:
		return s.selectSleep(p)
	case stmtRepeat:
		return s.selectRepeat(p)
	case stmtInsert:
		return s.insert(p)
	case stmtUpdate:
		return s.update(p)
	case stmtDelete:
		return s.delete(p)
	}
	return "", errors.Newf("statement kind %d has no execution", p.stmt.kind)
}

// read returns the value of key as the session's transaction sees it.
func (s *session) read(key string) (string, bool) {
	if s.txn != nil {
		if v, ok := s.txn.written[key]; ok {
			if v == nil {
				return "", false
			}
			return *v, true
		}
	}
	return s.server.state.get(key)
}

func (s *session) selectValue(p *portal) (string, error) {
	v, ok := s.read(p.args[0])
	if !ok {
		return "SELECT 0", nil
	}
	return "SELECT 1", s.sendRow(p, v)
}

func (s *session) selectAll(p *portal) (string, error) {
	rows := s.server.Rows()
	if s.txn != nil {
		for key, v := range s.txn.written {
			delete(rows, key)
			if v != nil {
				rows[key] = *v
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if err := s.sendRow(p, key, rows[key]); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("SELECT %d", len(rows)), nil
}

func (s *session) selectSleep(p *portal) (string, error) {
	seconds, err := strconv.ParseFloat(p.args[0], 64)
	if err != nil {
		return "", newSQLError(codeInvalidParameter, "pg_sleep takes a number of seconds")
	}
	if err := s.sleep(time.Duration(seconds * float64(time.Second))); err != nil {
		return "", err
	}
	return "SELECT 1", s.sendRow(p, "")
}

func (s *session) selectRepeat(p *portal) (string, error) {
	var numbers [3]int // repetitions, then first and last number of the series
	for i, limit := range []int{maxRepeat, maxSeries, maxSeries} {
		n, err := parseLimited(p.args[i+1], limit)
		if err != nil {
			return "", err
		}
		numbers[i] = n
	}
	repetitions, first, last := numbers[0], numbers[1], numbers[2]
	text := strings.Repeat(p.args[0], repetitions)
	for i := first; i <= last; i++ {
		if err := s.sendRow(p, text); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("SELECT %d", max(0, last-first+1)), nil
}

func parseLimited(text string, limit int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		return 0, newSQLError(codeInvalidParameter, fmt.Sprintf("%q is not a number from 0 to %d", text, limit))
	}
	return n, nil
}

func (s *session) insert(p *portal) (string, error) {
	for i := 0; i < len(p.args); i += 2 {
		result, err := s.insertRow(p.stmt.onConflict, p.args[i], p.args[i+1])
		if err != nil {
			return "", err
		}
		if err := s.returnValue(p, result); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("INSERT 0 %d", len(p.args)/2), nil
}

func (s *session) insertRow(onConflict conflictAction, key, value string) (string, error) {
	old, exists := s.read(key)
	switch {
	case exists && onConflict == conflictFails:
		return "", newSQLError(codeUniqueViolation, "duplicate key value violates unique constraint \"kv_pkey\"")
	case exists && onConflict == conflictAppends:
		return s.writeAppend(key, old, value), nil
	}
	return s.writeSet(key, value), nil
}

func (s *session) update(p *portal) (string, error) {
	value, key := p.args[0], p.args[1]
	old, exists := s.read(key)
	if !exists {
		return "UPDATE 0", nil
	}
	if p.stmt.appendsValue {
		value = s.writeAppend(key, old, value)
	} else {
		value = s.writeSet(key, value)
	}
	return "UPDATE 1", s.returnValue(p, value)
}

func (s *session) delete(p *portal) (string, error) {
	key := p.args[0]
	old, exists := s.read(key)
	if !exists {
		return "DELETE 0", nil
	}
	s.txn.write(op{Kind: opDelete, Key: key}, nil)
	return "DELETE 1", s.returnValue(p, old)
}

func (s *session) writeSet(key, value string) string {
	s.txn.write(op{Kind: opSet, Key: key, Value: value}, &value)
	return value
}

func (s *session) writeAppend(key, old, value string) string {
	result := old + value
	s.txn.write(op{Kind: opAppend, Key: key, Value: value}, &result)
	return result
}

func (s *session) returnValue(p *portal, value string) error {
	if !p.stmt.returnsValue {
		return nil
	}
	return s.sendRow(p, value)
}

var stateColumns = func() []column {
	list := make([]column, len(dbgroup.StateColumns))
	for i, name := range dbgroup.StateColumns {
		list[i] = column{name, oidText}
	}
	return list
}()

// executeControl runs a control function. Control functions use no slot.
func (s *session) executeControl(p *portal) (string, error) {
	if s.isPeer && s.server.peersCut.Load() {
		return "", errDisconnect
	}
	if p.stmt.kind == stmtProbe {
		return "SELECT 1", s.sendState(p, s.server.state.snapshot())
	}
	switch p.stmt.kind {
	case stmtSelectActivity:
		return s.selectActivity(p)
	case stmtTerminate:
		return s.terminateBackend(p)
	}
	term, err := strconv.ParseUint(p.args[0], 10, 64)
	if err != nil {
		return "", newSQLError(codeInvalidParameter, "the term is not a number")
	}
	if p.stmt.kind == stmtLog {
		return s.sendLog(p, term)
	}
	change := s.server.state.placeFence
	if p.stmt.kind == stmtPromote {
		change = s.server.state.promote
	}
	state, err := change(term, p.args[1])
	if err != nil {
		return "", err
	}
	return "SELECT 1", s.sendState(p, state)
}

// selectActivity emulates PostgreSQL's view pg_stat_activity. There is no row for a session that has
// ended.
func (s *session) selectActivity(p *portal) (string, error) {
	pid, err := parsePID(p.args[0])
	if err != nil {
		return "", err
	}
	state, waitEvent, ok := s.server.sessionActivity(pid)
	if !ok {
		return "SELECT 0", nil
	}
	return "SELECT 1", s.sendRow(p, state, waitEvent)
}

// terminateBackend emulates PostgreSQL's function pg_terminate_backend.
func (s *session) terminateBackend(p *portal) (string, error) {
	pid, err := parsePID(p.args[0])
	if err != nil {
		return "", err
	}
	answer := "f"
	if s.server.terminate(pid) {
		answer = "t"
	}
	return "SELECT 1", s.sendRow(p, answer)
}

func parsePID(text string) (uint32, error) {
	pid, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, newSQLError(codeInvalidParameter, "the pid is not a number")
	}
	return uint32(pid), nil
}

func (s *session) sendState(p *portal, v authority.ServerState) error {
	history, err := json.Marshal(v.History)
	if err != nil {
		return errors.Wrap(err, "encode the history")
	}
	return s.sendRow(p,
		string(v.Server),
		strconv.FormatUint(v.Incarnation, 10),
		string(v.Role),
		strconv.FormatUint(v.Term, 10),
		strconv.FormatUint(v.FenceTerm, 10),
		v.FenceOwner,
		strconv.FormatUint(v.LSN, 10),
		string(history),
		strconv.FormatInt(v.PrimaryContactAge.Microseconds(), 10),
	)
}
