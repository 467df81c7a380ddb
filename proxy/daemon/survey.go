package daemon

import (
	"context"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// peerSurvey returns a function that asks other instances whether they reach a primary.
func peerSurvey(surveyor *peer.Surveyor) func(context.Context, string, authority.ServerID, uint64) (authority.PeerViews, bool) {
	return func(ctx context.Context, database string, server authority.ServerID, term uint64) (authority.PeerViews, bool) {
		survey, known := surveyor.Ask(ctx, database, string(server), term)
		return authority.PeerViews{Asked: survey.Asked, Lost: survey.Lost, Reaching: survey.Reaching}, known
	}
}

// judgeHandler answers with the judgement of the database's group. It implements peer.JudgeHandler.
type judgeHandler struct{ groups *groups }

// Judge implements peer.JudgeHandler.
func (h judgeHandler) Judge(ctx context.Context, in *peerpb.JudgeRequest) (*peerpb.JudgeReply, error) {
	group, err := namedDatabase{groups: h.groups, name: in.GetDatabase()}.group()
	if err != nil {
		return &peerpb.JudgeReply{}, nil // this instance doesn't serve the database
	}
	reply := &peerpb.JudgeReply{}
	switch group.Judge(ctx, authority.ServerID(in.GetServer()), in.GetTerm()) {
	case authority.JudgementLost:
		reply.Judgement = peerpb.Judgement_LOST
	case authority.JudgementReaches:
		reply.Judgement = peerpb.Judgement_REACHES
	}
	return reply, nil
}
