package daemon

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// peerSurvey asks other instances about a primary.
func peerSurvey(surveyor *peer.Surveyor) func(context.Context, string, authority.ServerID, uint64) (authority.PeerViews, bool) {
	return func(ctx context.Context, database string, server authority.ServerID, term uint64) (authority.PeerViews, bool) {
		survey, known := surveyor.Ask(ctx, database, string(server), term)
		return authority.PeerViews{Asked: survey.Asked, Lost: survey.Lost, Reaching: survey.Reaching}, known
	}
}

// judgeHandler implements peer.JudgeHandler.
type judgeHandler struct{ groups *groups }

// Judge implements peer.JudgeHandler.
func (j judgeHandler) Judge(ctx context.Context, in *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
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
