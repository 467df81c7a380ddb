package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenstile/cyclamenstile/proxy/contain"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// ConfigHandler answers the calls that distribute configuration.
type ConfigHandler interface {
	// Gossip handles a peer's digest and returns that of this instance.
	Gossip(ctx context.Context, in *peerpb.Digest) (*peerpb.Digest, error)
	// FetchManifest returns the manifest in force, or an error if its version is lower than the
	// requested one.
	FetchManifest(ctx context.Context, in *peerpb.ManifestRequest) (*peerpb.Manifest, error)
}

// QuotaHandler answers the calls that transfer fractions and tokens.
type QuotaHandler interface {
	Lend(ctx context.Context, in *peerpb.LoanRequest) (*peerpb.Loan, error)
	Grant(ctx context.Context, in *peerpb.GrantRequest) (*peerpb.Grants, error)
	HandBack(ctx context.Context, in *peerpb.HandBackRequest) (*peerpb.HandBackReply, error)
}

// JudgeHandler answers whether this instance still reaches a primary.
type JudgeHandler interface {
	Judge(ctx context.Context, in *peerpb.JudgeRequest) (*peerpb.JudgeReply, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Config  ConfigHandler
	Quota   QuotaHandler
	Judge   JudgeHandler // nil: every reply is without a judgement
	TLS     *tls.Config  // nil: plain TCP
	Traffic *Traffic     // nil: not counted
	Meter   *Meter       // nil: not counted
	Log     logrus.FieldLogger
}

// Server answers the calls of other instances.
type Server struct {
	cfg ServerConfig
	mux *drpcmux.Mux
}

// handler combines the handlers into the generated interface.
type handler struct {
	ConfigHandler
	QuotaHandler
	JudgeHandler
}

// noJudge replies without a judgement, for an instance that doesn't observe primaries.
type noJudge struct{}

func (noJudge) Judge(context.Context, *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
	return &peerpb.JudgeReply{}, nil
}

// NewServer returns a server that passes calls to the handlers of cfg.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Config == nil || cfg.Quota == nil || cfg.Log == nil {
		return nil, errors.New("peer server has no handler or no log; set Config, Quota and Log")
	}
	if cfg.Judge == nil {
		cfg.Judge = noJudge{}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler{cfg.Config, cfg.Quota, cfg.Judge}); err != nil {
		return nil, errors.Wrap(err, "register the peer service")
	}
	return &Server{cfg: cfg, mux: mux}, nil
}

// Mux returns the multiplexer, on which further services can be registered.
func (s *Server) Mux() *drpcmux.Mux {
	return s.mux
}

// Serve accepts connections until ctx ends, then closes the listener and the connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.cfg.Log.WithFields(logrus.Fields{FieldEvent: EventListening, "address": listener.Addr()}).
		Info("accepting connections from peers")
	if s.cfg.Traffic != nil {
		listener = countingListener{listener, s.cfg.Traffic}
	}
	if s.cfg.TLS != nil {
		listener = tls.NewListener(listener, s.cfg.TLS)
	}
	server := drpcserver.NewWithOptions(containedHandler{s.mux, s.cfg.Log, s.cfg.Meter}, drpcserver.Options{Log: s.logConnection})
	return errors.Wrap(server.Serve(ctx, listener), "accept peer connections")
}

func (s *Server) logConnection(err error) {
	s.cfg.Log.WithField(FieldEvent, EventConnectionError).WithError(err).
		Debug("connection from a peer ended with an error")
}

// containedHandler answers a call that makes a handler panic with an error.
type containedHandler struct {
	drpc.Handler
	log   logrus.FieldLogger
	meter *Meter
}

// HandleRPC implements drpc.Handler.
func (h containedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if h.meter != nil {
		counters := h.meter.of(rpc)
		counters.answered.Inc(1)
		stream = meteredStream{stream, counters}
	}
	return Contain(h.log, rpc, func() error { return h.Handler.HandleRPC(stream, rpc) })
}

// Contain calls f, which handles a call of a peer or a peer's answer, and returns its error. A panic in f is logged with the name
// of the call and returned as a *contain.PanicError, so that one message doesn't end the process.
func Contain(log logrus.FieldLogger, call string, f func() error) error {
	err := contain.Call(f)
	var p *contain.PanicError
	if errors.As(err, &p) {
		log.WithFields(logrus.Fields{FieldEvent: EventPanic, "call": call, "stack": p.Stack}).WithError(err).
			Error("a fault in the program was contained")
	}
	return err
}
