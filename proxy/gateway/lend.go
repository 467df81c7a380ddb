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

// lenderRoundTripAllowance is the time for the round trip to a lender, in addition to the time of the work.
const lenderRoundTripAllowance = 150 * time.Millisecond

// Conns returns drpc connections to instances by peer address; *peer.Client implements it.
type Conns interface {
	Conn(ctx context.Context, address string) drpc.Conn
	// DiscardConns makes later calls to address use new connections.
	DiscardConns(address string)
}

// lenderUnavailableError proves that nothing was sent to a server, because the lender was not reached or is
// stopping.
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
	ask   func(ctx context.Context, address string) (answered bool) // nil: lenders are not asked for a sign of life

	mu       sync.Mutex
	suspects suspicion.List[suspect] // lenders that are skipped
	silence  suspicion.Silence[string]
}

func newBorrower(cfg Config) *borrower {
	return &borrower{conns: cfg.Conns, now: cfg.Now, ask: cfg.AskInstance}
}

// lenderFor returns the instance that holds the connections of an account to a server; empty for this one.
func (g *Gateway) lenderFor(d destination) string {
	if g.cfg.Lender == nil {
		return ""
	}
	r := LendRequest{Server: d.server, Account: d.account, Homes: d.homes, Exclusive: g.IsCold(d.server)}
	return g.cfg.Lender(r, func(address string) bool { return g.borrower.suspected(address, d.server.ID) })
}

// run runs one statement through a lender.
func (b *borrower) run(ctx context.Context, address string, d destination, w *workItem) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeLeft+lenderRoundTripAllowance)
	defer cancel()
	ended := b.watch(address, func() {
		if w.readsOnly() {
			cancel() // it can be repeated
		}
	})
	client := lendpb.NewDRPCLenderClient(b.conns.Conn(ctx, address))
	out, err := client.Run(ctx, toOrder(&d, w))
	ended(err == nil)
	if err != nil {
		return result{}, b.callFailed(address, err)
	}
	r, err := fromReport(out)
	b.recordUnreached(address, d.server.ID, err)
	return r, err
}

// callFailed handles a lender that did not answer. A failed dial proves that nothing was sent.
func (b *borrower) callFailed(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		b.conns.DiscardConns(address) // the network path has stopped responding, which mostly affects all open connections
	}
	b.suspect(suspect{lender: address})
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &lenderUnavailableError{cause: err}
	}
	return &noAnswerError{sent: true, lender: address, cause: err}
}

// open begins a transaction with its first statement through a lender.
func (b *borrower) open(ctx context.Context, address string, d destination, w *workItem) (txConn, result, error) {
	stream, cancel := context.WithCancel(context.WithoutCancel(ctx))
	client, err := lendpb.NewDRPCLenderClient(b.conns.Conn(stream, address)).Transact(stream)
	if err != nil {
		cancel()
		return nil, result{}, b.callFailed(address, err)
	}
	conn := &remoteTxConn{borrower: b, address: address, stream: client, cancel: cancel}
	r, err := conn.roundTrip(toOrder(&d, w), w.timeLeft)
	b.recordUnreached(address, d.server.ID, err)
	if err != nil || r.setupRefused {
		conn.release()
		return nil, r, err
	}
	return conn, r, nil
}

// remoteTxConn is a txConn over a connection that another instance lends.
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
	ended := r.borrower.watch(r.address, func() {}) // a statement of a transaction is not repeated
	out, err := r.exchange(order)
	ended(err == nil)
	if err != nil {
		return result{}, r.borrower.callFailed(r.address, err)
	}
	return fromReport(out)
}

func (r *remoteTxConn) exchange(order *lendpb.Order) (*lendpb.Report, error) {
	if err := r.stream.Send(order); err != nil {
		return nil, err
	}
	return r.stream.Recv()
}

func (r *remoteTxConn) release() {
	_ = r.stream.Close() // the lender rolls back at the end of the stream, however it ends
	r.cancel()
}

// toOrder encodes work. d is nil for later statements of a transaction, which have their connection.
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
	if d.toScheduler {
		o.ToScheduler, o.TargetMs = true, uint32(w.targetLeft.Milliseconds())
	}
	o.Server = &lendpb.Server{
		Id: d.server.ID, Database: d.server.Database, Address: d.server.Address, Started: d.server.Started,
		MaxConnections: int32(d.maxConnections), Slots: int32(d.server.Slots),
		Region: d.server.Region, FailureDomain: d.server.FailureDomain,
	}
	return o
}

// toMillis converts a duration to milliseconds, at least 1.
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
		targetLeft: fromMillis(o.GetTargetMs()),
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
		chosen:         o.GetToScheduler(),
		lent:           true,
	}
}

// toReport encodes the result of work.
func toReport(r result, err error) *lendpb.Report {
	out := &lendpb.Report{
		NotOpened: r.setupRefused, Rows: r.answer.rows, Receipt: r.answer.receipt, Code: r.answer.code, Text: r.answer.text,
		State: int32(r.state), Term: r.position.Term, Lsn: r.position.LSN, TookUs: uint32(r.took.Microseconds()),
		WaitedMs: uint32(r.waited.Milliseconds()),
	}
	told := r.schedule
	var notSent *notSentError
	var noAnswer *noAnswerError
	switch {
	case err == nil:
	case errors.As(err, &notSent) && notSent.serverBusy:
		out.Placing, out.Failure = lendpb.Placing_BUSY, err.Error()
		out.RetryAfterMs = uint32(notSent.retryAfter.Milliseconds())
		told = notSent.schedule
		out.Term, out.Lsn, out.TookUs = notSent.sample.position.Term, notSent.sample.position.LSN, uint32(notSent.sample.age.Microseconds())
	case errors.As(err, &notSent) && notSent.noFreeConnection:
		out.Placing, out.Failure = lendpb.Placing_FULL, err.Error()
	case errors.As(err, &noAnswer):
		out.Silent, out.Sent, out.Failure = true, noAnswer.sent, err.Error()
		out.AnswersOthers = noAnswer.lenderReaches
	default:
		out.Placing, out.Failure = lendpb.Placing_UNREACHABLE, err.Error()
		out.AnswersOthers = notSent != nil && notSent.lenderReaches
	}
	out.Scheduled, out.ExpectedWaitMs = told.scheduled, uint32(told.expectedWait.Milliseconds())
	return out
}

// fromReport decodes a lender's result. Its error is a *notSentError, a *lenderUnavailableError or a
// *noAnswerError.
func fromReport(in *lendpb.Report) (result, error) {
	told := schedule{scheduled: in.GetScheduled(), expectedWait: fromMillis(in.GetExpectedWaitMs())}
	switch {
	case in.GetPlacing() == lendpb.Placing_LEAVING:
		return result{}, &lenderUnavailableError{cause: errors.New(in.GetFailure())}
	case in.GetPlacing() == lendpb.Placing_BUSY:
		return result{}, fromBusyReport(in, told)
	case in.GetPlacing() != lendpb.Placing_PLACED:
		return result{}, &notSentError{noFreeConnection: in.GetPlacing() == lendpb.Placing_FULL, lenderReaches: in.GetAnswersOthers(), cause: errors.New(in.GetFailure())}
	case in.GetSilent():
		return result{}, &noAnswerError{sent: in.GetSent(), lenderReaches: in.GetAnswersOthers(), cause: errors.New(in.GetFailure())}
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
		waited:       fromMillis(in.GetWaitedMs()),
		schedule:     told,
	}, nil
}

func fromBusyReport(in *lendpb.Report, told schedule) error {
	busy := newServerBusyError(fromMillis(in.GetRetryAfterMs()))
	busy.sample = leaderSample{
		position: position.Position{Term: in.GetTerm(), LSN: in.GetLsn()}, age: time.Duration(in.GetTookUs()) * time.Microsecond,
	}
	busy.schedule = told
	return busy
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
	g.learnColdNews(ctx, d.server)
	began := g.cfg.Now()
	r, err := g.runLocal(ctx, d, w)
	g.recordSample(d, w, began, r, err)
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
	g.learnColdNews(ctx, d.server)
	began := g.cfg.Now()
	conn, r, err := g.openLocalTxConn(ctx, d, w)
	g.recordSample(d, w, began, r, err)
	if err != nil {
		g.cfg.Log.loanFailed(w, d, err)
	}
	sendErr := stream.Send(toReport(r, err))
	if conn == nil {
		return sendErr
	}
	defer conn.release()
	if sendErr != nil || r.state == sessionstate.Idle {
		return sendErr
	}
	return g.serveLoan(stream, conn)
}

// serveLoan runs a borrower's further statements until its transaction or the stream ends.
func (g *Gateway) serveLoan(stream lendpb.DRPCLender_TransactStream, conn txConn) error {
	for {
		order, err := stream.Recv()
		if err != nil {
			return nil // the borrower has finished or failed; an open transaction is rolled back
		}
		r, err := conn.execute(stream.Context(), fromOrder(order))
		if sendErr := stream.Send(toReport(r, err)); sendErr != nil || err != nil {
			return sendErr
		}
		if r.state == sessionstate.Idle {
			return nil
		}
	}
}
