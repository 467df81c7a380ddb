package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
	"github.com/cyclamenstile/cyclamenstile/decision/sessionstate"
	"github.com/cyclamenstile/cyclamenstile/decision/suspicion"
	"github.com/cyclamenstile/cyclamenstile/proxy/gateway/lendpb"
)

const (
	// lenderRoundTripAllowance is the time for the way to a lender and back, beyond that of the work.
	lenderRoundTripAllowance = 150 * time.Millisecond
	// suspectDuration is how long a lender that did not answer is passed over.
	suspectDuration = 2 * time.Second
)

// Conns gives drpc connections to instances by peer address; *peer.Client is one.
type Conns interface {
	Conn(ctx context.Context, address string) drpc.Conn
	// Renew makes later calls to address use new connections only.
	Renew(address string)
}

// lenderUnavailableError proves that nothing was sent to a server, because the lender was not reached or stops.
type lenderUnavailableError struct {
	cause error
}

// Error implements error.
func (e *lenderUnavailableError) Error() string {
	return e.cause.Error()
}

// borrower is the client side of borrowed connections.
type borrower struct {
	conns Conns
	now   func() time.Duration

	mu       sync.Mutex
	suspects suspicion.List[suspect] // lenders that are passed over
}

// suspect is a lender that does not answer, or that does not reach a server.
type suspect struct {
	lender, server string // any server if empty
}

func newBorrower(conns Conns, now func() time.Duration) *borrower {
	return &borrower{conns: conns, now: now}
}

// lenderFor returns the instance that holds the connections of an account to a server, empty for this one.
func (g *Gateway) lenderFor(d destination) string {
	if g.cfg.Lender == nil {
		return ""
	}
	return g.cfg.Lender(d.server, d.account, func(address string) bool { return g.borrower.suspected(address, d.server.ID) })
}

// suspected reports whether an instance did not answer lately, or did not reach a server.
func (l *borrower) suspected(address, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.suspects.Contains(now, suspect{lender: address}) || l.suspects.Contains(now, suspect{address, server})
}

func (l *borrower) suspect(s suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspects.Add(l.now(), s, suspectDuration)
}

// recordUnreached notes that a lender does not reach a server, which another one may.
func (l *borrower) recordUnreached(address, server string, err error) {
	var notPlaced *notSentError
	var silent *noAnswerError
	if errors.As(err, &notPlaced) && !notPlaced.noFreeConnection || errors.As(err, &silent) && silent.lender == "" {
		l.suspect(suspect{address, server})
	}
}

// run lets a lender run one statement.
func (l *borrower) run(ctx context.Context, address string, d destination, w *workItem) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeLeft+lenderRoundTripAllowance)
	defer cancel()
	client := lendpb.NewDRPCLenderClient(l.conns.Conn(ctx, address))
	out, err := client.Run(ctx, toOrder(&d, w))
	if err != nil {
		return result{}, l.callFailed(address, err)
	}
	r, err := fromReport(out)
	l.recordUnreached(address, d.server.ID, err)
	return r, err
}

// callFailed notes a lender that did not answer. A connection that could not be opened proves that nothing was sent.
func (l *borrower) callFailed(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		l.conns.Renew(address) // the path has gone silent, which mostly concerns all open connections
	}
	l.suspect(suspect{lender: address})
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &lenderUnavailableError{cause: err}
	}
	return &noAnswerError{sent: true, lender: address, cause: err}
}

// open lets a lender begin a transaction with its first statement.
func (l *borrower) open(ctx context.Context, address string, d destination, w *workItem) (txConn, result, error) {
	stream, cancel := context.WithCancel(context.WithoutCancel(ctx))
	client, err := lendpb.NewDRPCLenderClient(l.conns.Conn(stream, address)).Transact(stream)
	if err != nil {
		cancel()
		return nil, result{}, l.callFailed(address, err)
	}
	r := &remoteTxConn{borrower: l, address: address, stream: client, cancel: cancel}
	rep, err := r.roundTrip(toOrder(&d, w), w.timeLeft)
	l.recordUnreached(address, d.server.ID, err)
	if err != nil || rep.setupRefused {
		r.release()
		return nil, rep, err
	}
	return r, rep, nil
}

// remoteTxConn is a link over a connection that another instance lends.
type remoteTxConn struct {
	borrower *borrower
	address  string
	stream   lendpb.DRPCLender_TransactClient
	cancel   context.CancelFunc
}

func (r *remoteTxConn) execute(_ context.Context, w *workItem) (result, error) {
	return r.roundTrip(toOrder(nil, w), w.timeLeft)
}

func (r *remoteTxConn) roundTrip(order *lendpb.Order, timeout time.Duration) (result, error) {
	timer := time.AfterFunc(timeout+lenderRoundTripAllowance, r.cancel)
	defer timer.Stop()
	if err := r.stream.Send(order); err != nil {
		return result{}, r.borrower.callFailed(r.address, err)
	}
	out, err := r.stream.Recv()
	if err != nil {
		return result{}, r.borrower.callFailed(r.address, err)
	}
	return fromReport(out)
}

func (r *remoteTxConn) release() {
	_ = r.stream.Close() // the lender rolls back at the end of the stream, however it ends
	r.cancel()
}

// toOrder translates work; d is nil in a transaction that has its connection.
func toOrder(d *destination, w *workItem) *lendpb.Order {
	o := &lendpb.Order{
		Values:    w.values,
		Opening:   lendpb.Opening(w.opening),
		AfterTerm: w.after.Term,
		AfterLsn:  w.after.LSN,
		LeftMs:    toMillis(w.timeLeft), PatienceMs: toMillis(w.maxQueueWait), TimeoutMs: toMillis(w.serverTimeout),
		Statement: &lendpb.Statement{
			Id: w.stmt.ID, Kind: int32(w.stmt.Kind), Text: w.stmt.Text, Value: w.stmt.Value,
			Writes: w.preparedStmt.Writes, Shape: w.preparedStmt.Shape,
		},
	}
	if d == nil {
		return o
	}
	o.Account = d.account
	o.Priority = int32(d.priority)
	o.Server = &lendpb.Server{
		Id: d.server.ID, Database: d.server.Database, Address: d.server.Address, Started: d.server.Started,
		MaxConnections: int32(d.maxConnections), Slots: int32(d.server.Slots),
		Region: d.server.Region, FailureDomain: d.server.FailureDomain,
	}
	return o
}

// toMillis renders a time that must not become zero.
func toMillis(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 1))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func fromOrder(o *lendpb.Order) *workItem {
	s := o.GetStatement()
	return &workItem{
		values:       o.GetValues(),
		opening:      opening(o.GetOpening()),
		after:        position.Position{Term: o.GetAfterTerm(), LSN: o.GetAfterLsn()},
		stmt:         sessionstate.Statement{ID: s.GetId(), Kind: sessionstate.Kind(s.GetKind()), Text: s.GetText(), Value: s.GetValue()},
		preparedStmt: sessionstate.PreparedStatement{Writes: s.GetWrites(), Shape: s.GetShape()},
		timeLeft:     fromMillis(o.GetLeftMs()), maxQueueWait: fromMillis(o.GetPatienceMs()), serverTimeout: fromMillis(o.GetTimeoutMs()),
	}
}

func destinationOf(o *lendpb.Order) destination {
	s := o.GetServer()
	return destination{
		server: discovery.Server{
			ID: s.GetId(), Database: s.GetDatabase(), Address: s.GetAddress(), Started: s.GetStarted(),
			Slots: int(s.GetSlots()), Region: s.GetRegion(), FailureDomain: s.GetFailureDomain(),
		},
		maxConnections: int(s.GetMaxConnections()),
		account:        o.GetAccount(),
		priority:       int(o.GetPriority()),
	}
}

// toReport translates the result of work.
func toReport(r result, err error) *lendpb.Report {
	out := &lendpb.Report{
		NotOpened: r.setupRefused, Rows: r.answer.rows, Receipt: r.answer.receipt, Code: r.answer.code, Text: r.answer.text,
		State: int32(r.state), Term: r.position.Term, Lsn: r.position.LSN, TookUs: uint32(r.took.Microseconds()),
	}
	var notPlaced *notSentError
	var silent *noAnswerError
	switch {
	case err == nil:
	case errors.As(err, &notPlaced) && notPlaced.serverBusy:
		out.Placing, out.Failure = lendpb.Placing_BUSY, err.Error()
		out.RetryAfterMs = uint32(notPlaced.retryAfter.Milliseconds())
	case errors.As(err, &notPlaced) && notPlaced.noFreeConnection:
		out.Placing, out.Failure = lendpb.Placing_FULL, err.Error()
	case errors.As(err, &silent):
		out.Silent, out.Sent, out.Failure = true, silent.sent, err.Error()
	default:
		out.Placing, out.Failure = lendpb.Placing_UNREACHABLE, err.Error()
	}
	return out
}

// fromReport translates a lender's result. Its error is a *notSentError, a *lenderUnavailableError or a *noAnswerError.
func fromReport(in *lendpb.Report) (result, error) {
	switch {
	case in.GetPlacing() == lendpb.Placing_LEAVING:
		return result{}, &lenderUnavailableError{cause: errors.New(in.GetFailure())}
	case in.GetPlacing() == lendpb.Placing_BUSY:
		return result{}, newServerBusyError(fromMillis(in.GetRetryAfterMs()))
	case in.GetPlacing() != lendpb.Placing_PLACED:
		return result{}, &notSentError{noFreeConnection: in.GetPlacing() == lendpb.Placing_FULL, cause: errors.New(in.GetFailure())}
	case in.GetSilent():
		return result{}, &noAnswerError{sent: in.GetSent(), cause: errors.New(in.GetFailure())}
	}
	return result{
		answer: answer{
			rows: in.GetRows(), receipt: in.GetReceipt(), code: in.GetCode(), text: in.GetText(),
			complete: in.GetCode() == "",
		},
		setupRefused: in.GetNotOpened(),
		state:        sessionstate.TxState(in.GetState()),
		position:     position.Position{Term: in.GetTerm(), LSN: in.GetLsn()},
		took:         time.Duration(in.GetTookUs()) * time.Microsecond,
	}, nil
}

// Run implements lendpb.DRPCLenderServer.
func (g *Gateway) Run(ctx context.Context, in *lendpb.Order) (*lendpb.Report, error) {
	if g.lendingStopped.Load() {
		return leavingReport(), nil
	}
	w := fromOrder(in)
	ctx, cancel := context.WithTimeout(ctx, w.timeLeft)
	defer cancel()
	d := destinationOf(in)
	r, err := g.runLocal(ctx, d, w)
	if err != nil {
		g.cfg.Log.loanFailed(w, d, err)
	}
	return toReport(r, err), nil
}

func leavingReport() *lendpb.Report {
	return &lendpb.Report{Placing: lendpb.Placing_LEAVING, Failure: "the instance stops"}
}

// Transact implements lendpb.DRPCLenderServer.
func (g *Gateway) Transact(stream lendpb.DRPCLender_TransactStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if g.lendingStopped.Load() {
		return stream.Send(leavingReport())
	}
	w := fromOrder(first)
	ctx, cancel := context.WithTimeout(stream.Context(), w.timeLeft)
	defer cancel()
	d := destinationOf(first)
	l, r, err := g.openLocalTxConn(ctx, d, w)
	if err != nil {
		g.cfg.Log.loanFailed(w, d, err)
	}
	sendErr := stream.Send(toReport(r, err))
	if l == nil {
		return sendErr
	}
	defer l.release()
	if sendErr != nil || r.state == sessionstate.Idle {
		return sendErr
	}
	return g.serveLoan(stream, l)
}

// serveLoan runs a borrower's further statements until its transaction or the stream ends.
func (g *Gateway) serveLoan(stream lendpb.DRPCLender_TransactStream, l txConn) error {
	for {
		order, err := stream.Recv()
		if err != nil {
			return nil // the borrower is done or gone; what is open is rolled back
		}
		r, err := l.execute(stream.Context(), fromOrder(order))
		if sendErr := stream.Send(toReport(r, err)); sendErr != nil || err != nil {
			return sendErr
		}
		if r.state == sessionstate.Idle {
			return nil
		}
	}
}
