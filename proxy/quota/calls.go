package quota

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// handleOwnBatch handles a batch addressed to this instance, without network calls.
func (d *Driver) handleOwnBatch(b *batch) {
	for _, i := range slices.Sorted(maps.Keys(b.loanRequests)) {
		request := b.loanRequests[i]
		d.shards[i].with(func(m *quota.Shard) {
			loan := m.Lend(d.cfg.Clock(), request.Request)
			m.HandleLoan(d.cfg.Clock(), b.sentAt, request, loan)
		})
	}
	for i, h := range b.handBacks {
		d.shards[i].with(func(m *quota.Shard) { m.AcceptHandBack(d.cfg.Clock(), h) })
	}
	for i, request := range b.grantRequests {
		s := d.shards[i]
		s.with(func(m *quota.Shard) {
			grants := make([]quota.Grant, 0, len(request.Demands))
			for _, demand := range request.Demands {
				g := m.Grant(d.cfg.Clock(), demand)
				grants = append(grants, g)
				if g.NoPool {
					d.sender.pollNow()
				}
			}
			m.HandleGrants(d.cfg.Clock(), b.sentAt, request, d.epoch, grants)
			s.notify()
		})
	}
}

// requestGrants sends the grant requests of a batch in one call and applies the reply.
func (d *Driver) requestGrants(ctx context.Context, address string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	d.counters.grantRequests.Add(1)
	answer, err := d.cfg.PeerClients.PeerClient(ctx, address).Grant(ctx, &peerpb.GrantRequest{From: d.cfg.Self, Accounts: demandsToWire(b.grantRequests)})
	if !errors.Is(err, context.Canceled) {
		d.sender.recordAnswer(address, err)
	}
	if err != nil {
		d.counters.grantRequestsFailed.Add(1)
		d.cfg.Log.WithField(peer.FieldEvent, EventGrantFailed).WithField("peer", address).WithError(err).Debug("grant request to the pool owner failed")
	}
	grants := map[int][]quota.Grant{}
	for _, g := range answer.GetAccounts() {
		i := shardOf(g.Account)
		grants[i] = append(grants[i], grantFromWire(g))
	}
	for i, request := range b.grantRequests {
		s := d.shards[i]
		s.with(func(m *quota.Shard) {
			if err != nil {
				m.GrantRequestFailed(d.cfg.Clock(), request)
			} else {
				m.HandleGrants(d.cfg.Clock(), b.sentAt, request, answer.Epoch, grants[i])
			}
			s.notify()
		})
	}
}

// requestLoans sends the loan requests of a batch in one call and applies the reply.
func (d *Driver) requestLoans(ctx context.Context, address string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	d.counters.loanRequests.Add(1)
	request := &peerpb.LoanRequest{Owner: d.cfg.Self, Epoch: d.epoch}
	for i, outgoing := range b.loanRequests {
		request.Shards = append(request.Shards, &peerpb.ShardLoanRequest{Shard: uint32(i), Serial: outgoing.Request.Serial})
	}
	answer, err := d.cfg.PeerClients.PeerClient(ctx, address).Lend(ctx, request)
	if err != nil {
		d.counters.loanRequestsFailed.Add(1)
		d.cfg.Log.WithField(peer.FieldEvent, EventLoanFailed).WithField("peer", address).WithError(err).Debug("loan request to the holder failed")
		return
	}
	for _, loan := range answer.Shards {
		outgoing, requested := b.loanRequests[int(loan.Shard)]
		if !requested {
			continue
		}
		received := quota.Loan{Fractions: quota.Mask(loan.Fractions), Tokens: tokensFromWire(loan.Tokens), Borrower: loan.Borrower}
		d.shards[loan.Shard].with(func(m *quota.Shard) { m.HandleLoan(d.cfg.Clock(), b.sentAt, outgoing, received) })
	}
}

// sendHandBacks sends the hand-backs of a batch in one call.
func (d *Driver) sendHandBacks(ctx context.Context, address string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	d.counters.handBacks.Add(1)
	request := &peerpb.HandBackRequest{Owner: d.cfg.Self, Epoch: d.epoch}
	for i, h := range b.handBacks {
		request.Shards = append(request.Shards, &peerpb.ShardHandBack{Shard: uint32(i), Serial: h.Serial, Tokens: tokensToWire(h.Tokens)})
	}
	if _, err := d.cfg.PeerClients.PeerClient(ctx, address).HandBack(ctx, request); err != nil {
		d.cfg.Log.WithField(peer.FieldEvent, EventHandBackFailed).WithField("peer", address).WithError(err).Debug("fractions could not be handed back to their holder")
	}
}

// Grant handles a peer's grant request as the pool owner.
func (d *Driver) Grant(_ context.Context, in *peerpb.GrantRequest) (*peerpb.Grants, error) {
	out := &peerpb.Grants{Epoch: d.epoch}
	for _, a := range in.Accounts {
		shard := shardOf(a.Account)
		var g quota.Grant
		d.shards[shard].with(func(m *quota.Shard) { g = m.Grant(d.cfg.Clock(), demandFromWire(a)) })
		if g.NoPool {
			d.sender.requestOwnerCheck(shard)
		}
		out.Accounts = append(out.Accounts, grantToWire(g))
	}
	return out, nil
}

// Lend handles a pool owner's request for fractions.
func (d *Driver) Lend(_ context.Context, in *peerpb.LoanRequest) (*peerpb.Loan, error) {
	out := &peerpb.Loan{}
	for _, r := range in.Shards {
		if r.Shard >= quota.ShardCount {
			continue
		}
		var loan quota.Loan
		d.shards[r.Shard].with(func(m *quota.Shard) {
			loan = m.Lend(d.cfg.Clock(), quota.LoanRequest{Owner: in.Owner, Epoch: in.Epoch, Serial: r.Serial})
		})
		out.Shards = append(out.Shards, &peerpb.ShardLoan{
			Shard: r.Shard, Serial: r.Serial, Fractions: uint64(loan.Fractions),
			Tokens: tokensToWire(loan.Tokens), Borrower: loan.Borrower,
		})
	}
	return out, nil
}

// HandBack accepts fractions that a pool owner hands back.
func (d *Driver) HandBack(_ context.Context, in *peerpb.HandBackRequest) (*peerpb.HandBackReply, error) {
	for _, h := range in.Shards {
		if h.Shard >= quota.ShardCount {
			continue
		}
		handBack := quota.HandBack{Owner: in.Owner, Epoch: in.Epoch, Serial: h.Serial, Tokens: tokensFromWire(h.Tokens)}
		d.shards[h.Shard].with(func(m *quota.Shard) { m.AcceptHandBack(d.cfg.Clock(), handBack) })
	}
	return &peerpb.HandBackReply{}, nil
}

func demandsToWire(requests map[int]quota.GrantRequest) []*peerpb.AccountDemand {
	var out []*peerpb.AccountDemand
	for _, request := range requests {
		for _, d := range request.Demands {
			demand := &peerpb.AccountDemand{Account: d.Account, Want: uint32(d.Want)}
			for _, s := range d.Settled {
				demand.Settled = append(demand.Settled, &peerpb.SettledTokens{
					Epoch: s.Epoch, Slot: s.Slot, Used: uint32(s.Used), Unused: uint32(s.Unused),
				})
			}
			out = append(out, demand)
		}
	}
	return out
}

func demandFromWire(a *peerpb.AccountDemand) quota.Demand {
	d := quota.Demand{Account: a.Account, Want: int(a.Want)}
	for _, s := range a.Settled {
		d.Settled = append(d.Settled, quota.SettledTokens{Epoch: s.Epoch, Slot: s.Slot, Used: int(s.Used), Unused: int(s.Unused)})
	}
	return d
}

func grantToWire(g quota.Grant) *peerpb.AccountGrant {
	return &peerpb.AccountGrant{
		Account: g.Account, Tokens: uint32(g.Tokens), Slot: g.Slot, NoPool: g.NoPool, Owner: g.Owner, Partial: g.Partial,
		LifetimeUs: uint64(g.Lifetime / time.Microsecond), RetryAfterUs: uint64(g.RetryAfter / time.Microsecond),
	}
}

func grantFromWire(g *peerpb.AccountGrant) quota.Grant {
	return quota.Grant{
		Account: g.Account, Tokens: int(g.Tokens), Slot: g.Slot, NoPool: g.NoPool, Owner: g.Owner, Partial: g.Partial,
		Lifetime:   time.Duration(g.LifetimeUs) * time.Microsecond,
		RetryAfter: time.Duration(g.RetryAfterUs) * time.Microsecond,
	}
}

func tokensToWire(tokens map[string]float64) []*peerpb.AccountTokens {
	var out []*peerpb.AccountTokens
	for _, account := range slices.Sorted(maps.Keys(tokens)) {
		out = append(out, &peerpb.AccountTokens{Account: account, Tokens: tokens[account]})
	}
	return out
}

func tokensFromWire(tokens []*peerpb.AccountTokens) map[string]float64 {
	out := make(map[string]float64, len(tokens))
	for _, t := range tokens {
		out[t.Account] = t.Tokens
	}
	return out
}
