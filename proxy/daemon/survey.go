package daemon

import (
	"context"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// maxSurveyed bounds the instances that are asked about a primary. It is twice the number of instances of
// a deployment today, so that all are asked there; in larger ones the answers of the first in hash order do.
const maxSurveyed = 16

// surveyor asks other instances about a primary.
type surveyor struct {
	peers *peer.Set
	calls *peer.Client
}

// ask asks the listed instances that don't leave, or those that come first in the hash order of the
// database. An instance that does not answer in time counts as asked only.
func (s *surveyor) ask(ctx context.Context, database string, server authority.ServerID, term uint64) (authority.PeerViews, bool) {
	if s.peers.Listed() == 0 {
		return authority.PeerViews{}, false
	}
	addresses := s.choose(database)
	replies := make([]peerpb.Judgement, len(addresses))
	request := &peerpb.JudgeRequest{Database: database, Server: string(server), Term: term}
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			// Without an answer the judgement is NONE.
			reply, err := s.calls.Peer(ctx, address).Judge(ctx, request)
			if err == nil {
				replies[i] = reply.GetJudgement()
			}
		})
	}
	calls.Wait()
	return count(replies), true
}

func (s *surveyor) choose(database string) []string {
	var addresses []string
	for _, p := range s.peers.Peers() {
		if !p.Instance.Leaving && !p.Leaving {
			addresses = append(addresses, p.Instance.PeerAddress)
		}
	}
	return peer.First(database, addresses, maxSurveyed)
}

func count(replies []peerpb.Judgement) authority.PeerViews {
	views := authority.PeerViews{Asked: len(replies)}
	for _, r := range replies {
		switch r {
		case peerpb.Judgement_LOST:
			views.Lost++
		case peerpb.Judgement_REACHES:
			views.Reaching++
		}
	}
	return views
}

// judges implements peer.JudgeHandler.
type judges struct{ groups *groups }

// Judge implements peer.JudgeHandler.
func (j judges) Judge(ctx context.Context, in *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
	g, err := namedDatabase{groups: j.groups, name: in.GetDatabase()}.group()
	if err != nil {
		return &peerpb.JudgeReply{}, nil // not served here
	}
	reply := &peerpb.JudgeReply{}
	switch g.Judge(ctx, authority.ServerID(in.GetServer()), in.GetTerm()) {
	case authority.JudgementLost:
		reply.Judgement = peerpb.Judgement_LOST
	case authority.JudgementReaches:
		reply.Judgement = peerpb.Judgement_REACHES
	}
	return reply, nil
}
