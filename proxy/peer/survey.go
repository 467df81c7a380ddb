package peer

import (
	"context"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// maxSurveyed bounds the number of instances that are asked about a primary. It is twice the size of a
// current deployment, in which therefore all are asked; in larger ones a subset in hash order is enough.
const maxSurveyed = 16

// Survey counts the judgements of other instances on a primary.
type Survey struct {
	Asked, Lost, Reaching int
}

// Surveyor asks other instances about a primary.
type Surveyor struct {
	Peers  *Set
	Client *Client
}

// Ask asks the listed instances that are not leaving, at most maxSurveyed in the hash order of the
// database. An instance that does not answer in time is counted only in Asked. known is false if the
// instance list has not been read yet. The survey then counts one instance without an answer, so that nobody
// takes it for the agreement of all.
func (s *Surveyor) Ask(ctx context.Context, database, server string, term uint64) (survey Survey, known bool) {
	if s.Peers.ListedCount() == 0 {
		return Survey{Asked: 1}, false
	}
	addresses := s.addresses(database)
	replies := make([]peerpb.Judgement, len(addresses))
	request := &peerpb.JudgeRequest{Database: database, Server: server, Term: term}
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			// Without an answer the judgement stays NONE.
			reply, err := s.Client.PeerClient(ctx, address).Judge(ctx, request)
			if err == nil {
				replies[i] = reply.GetJudgement()
			}
		})
	}
	calls.Wait()
	return countReplies(replies), true
}

func (s *Surveyor) addresses(database string) []string {
	var addresses []string
	for _, p := range s.Peers.Peers() {
		if !p.Instance.Leaving && !p.Leaving {
			addresses = append(addresses, p.Instance.PeerAddress)
		}
	}
	return RendezvousTop(database, addresses, maxSurveyed)
}

func countReplies(replies []peerpb.Judgement) Survey {
	survey := Survey{Asked: len(replies)}
	for _, r := range replies {
		switch r {
		case peerpb.Judgement_LOST:
			survey.Lost++
		case peerpb.Judgement_REACHES:
			survey.Reaching++
		}
	}
	return survey
}
