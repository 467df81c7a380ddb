package group

import "github.com/cyclamenstile/cyclamenstile/decision/authority"

// Health is what an operator has to know about a group.
type Health struct {
	Primary  bool                 // a server takes writes
	Majority bool                 // so many servers answer that writes can be confirmed
	Silent   []authority.ServerID // servers that don't answer probes
}

// Health returns the present state as this instance sees it; without any view yet there is none.
func (g *Group) Health() Health {
	p := g.published.Load()
	if p == nil {
		return Health{}
	}
	h := Health{Primary: p.hasPrimary}
	for _, s := range p.view.Servers {
		if s.Failures > 0 {
			h.Silent = append(h.Silent, s.ID)
		}
	}
	servers := len(p.view.Servers)
	h.Majority = servers-len(h.Silent) >= authority.Majority(servers)
	return h
}
