package daemon

import (
	"context"
	"math/rand"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/quota"
)

// quotaService enforces the accounts' limits.
type quotaService interface {
	engine.Quota
	peer.QuotaHandler
	SetAccounts([]manifest.Account)
	Run(ctx context.Context)
	// Ready returns the reason why statements can't be admitted yet, or nil.
	Ready() error
	// Drain hands back the quota that this instance holds.
	Drain(ctx context.Context) error
	// FractionsVersion and ObserveFractionsVersion exchange the version of the record of fractions
	// with peers.
	FractionsVersion() uint64
	ObserveFractionsVersion(version uint64)
}

// noQuotaSharing implements the parts of quotaService that involve peers as no-ops.
type noQuotaSharing struct{}

func (noQuotaSharing) Run(context.Context)            {}
func (noQuotaSharing) Ready() error                   { return nil }
func (noQuotaSharing) Drain(context.Context) error    { return nil }
func (noQuotaSharing) FractionsVersion() uint64       { return 0 }
func (noQuotaSharing) ObserveFractionsVersion(uint64) {}

func (noQuotaSharing) Lend(context.Context, *peerpb.LoanRequest) (*peerpb.Loan, error) {
	return &peerpb.Loan{}, nil
}

func (noQuotaSharing) Grant(context.Context, *peerpb.GrantRequest) (*peerpb.Grants, error) {
	return &peerpb.Grants{}, nil
}

func (noQuotaSharing) HandBack(context.Context, *peerpb.HandBackRequest) (*peerpb.HandBackReply, error) {
	return &peerpb.HandBackReply{}, nil
}

func (d *Daemon) assembleQuota() error {
	if d.cfg.Baseline.sharesOneQueue() {
		d.quota = admitAll{}
		return nil
	}
	if d.cfg.Baseline != nil {
		d.quota = &staticShares{instances: max(d.cfg.Baseline.Instances, 1)}
		return nil
	}
	driver, err := quota.New(quota.Config{
		Self:        d.peerAddress(),
		Store:       d.store,
		Peers:       d.peers,
		PeerClients: d.peerClient,
		Rand:        rand.New(rand.NewSource(rand.Int63())),
		Log:         d.log,
	})
	d.quota = driver
	return err
}
