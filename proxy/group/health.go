package group

import "github.com/cyclamenstile/cyclamenstile/decision/authority"

// Health summarizes the state of a group for operators.
type Health struct {
	Primary      bool                 // a primary accepts writes
	Majority     bool                 // enough servers answer to confirm writes
	Unresponsive []authority.ServerID // servers that don't answer probes
}

// Health returns the state that this instance last published, or the zero value before that.
func (g *Group) Health() Health {
	current := g.published.Load()
	if current == nil {
		return Health{}
	}
	h := Health{Primary: current.hasPrimary}
	for _, s := range current.view.Servers {
		if s.Failures > 0 {
			h.Unresponsive = append(h.Unresponsive, s.ID)
		}
	}
	servers := len(current.view.Servers)
	h.Majority = servers-len(h.Unresponsive) >= authority.Majority(servers)
	return h
}
