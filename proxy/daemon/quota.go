package daemon

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// quotaService is the driver of the accounts' limits.
type quotaService interface {
	engine.Quota
	peer.QuotaHandler
	SetAccounts([]manifest.Account)
	Run(ctx context.Context)
	// Drain hands back what this instance holds.
	Drain(ctx context.Context) error
}

// unlimited admits everything.
type unlimited struct{}

func (unlimited) Admit(context.Context, string) error { return nil }
func (unlimited) SetAccounts([]manifest.Account)      {}
func (unlimited) Run(context.Context)                 {}
func (unlimited) Drain(context.Context) error         { return nil }

func (unlimited) Lend(context.Context, *peerpb.LoanRequest) (*peerpb.Loan, error) {
	return &peerpb.Loan{}, nil
}

func (unlimited) Grant(context.Context, *peerpb.GrantRequest) (*peerpb.Grants, error) {
	return &peerpb.Grants{}, nil
}

func (unlimited) HandBack(context.Context, *peerpb.HandBackRequest) (*peerpb.HandBackReply, error) {
	return &peerpb.HandBackReply{}, nil
}

func (d *Daemon) assembleQuota() error {
	d.quota = unlimited{}
	if d.cfg.Plain != nil {
		d.quota = &staticShares{instances: max(d.cfg.Plain.Instances, 1)}
	}
	return nil
}
