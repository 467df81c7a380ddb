package database

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/dbgroup"
)

// DefaultGroupSize is the number of servers of a group.
const DefaultGroupSize = 3

// restartWait bounds the wait for the address of a killed server to become free.
const restartWait = 5 * time.Second

// GroupConfig describes a group of servers in one process.
type GroupConfig struct {
	Size int // DefaultGroupSize if 0
	// Server holds the settings that all servers share. ID, Listen, Peers and Primary are set by
	// the group; each server gets its own seed and, with DataDir, its own directory below it.
	Server Config
	// PeerAddress, if set, returns the address at which from reaches to, so that a relay can stand
	// in between. address is the listener's own.
	PeerAddress func(from, to authority.ServerID, address string) string
}

// Group is a group of servers named s1, s2, ... on loopback. s1 starts as the primary. Its
// methods are to be called by one goroutine at a time.
type Group struct {
	cfg     GroupConfig
	members []*member
}

type member struct {
	cfg     Config
	storage storage // nil when the journal is in a directory
	server  *Server
}

// StartGroup starts all servers.
func StartGroup(c GroupConfig) (*Group, error) {
	if c.Size == 0 {
		c.Size = DefaultGroupSize
	}
	g := &Group{cfg: c}
	for i := range c.Size {
		if err := g.addServer(i); err != nil {
			g.Close()
			return nil, err
		}
	}
	for _, m := range g.members {
		m.cfg.Peers = g.peersOf(m)
		m.server.serve(m.cfg.Peers)
	}
	return g, nil
}

func (g *Group) addServer(i int) error {
	m := &member{cfg: g.cfg.Server}
	m.cfg.ID = authority.ServerID(fmt.Sprintf("s%d", i+1))
	m.cfg.Listen = DefaultListen
	m.cfg.Primary = i == 0
	m.cfg.Seed += uint64(i)
	if m.cfg.DataDir != "" {
		m.cfg.DataDir = filepath.Join(m.cfg.DataDir, string(m.cfg.ID))
	} else {
		m.storage = &memoryStorage{}
	}
	server, err := listen(m.cfg, m.storage)
	if err != nil {
		return err
	}
	m.server = server
	m.cfg.Listen = server.Address()
	g.members = append(g.members, m)
	return nil
}

func (g *Group) peersOf(m *member) map[authority.ServerID]string {
	peers := make(map[authority.ServerID]string)
	for _, other := range g.members {
		if other == m {
			continue
		}
		address := other.server.Address()
		if g.cfg.PeerAddress != nil {
			address = g.cfg.PeerAddress(m.cfg.ID, other.cfg.ID, address)
		}
		peers[other.cfg.ID] = address
	}
	return peers
}

// Size returns the number of servers, running or not.
func (g *Group) Size() int { return len(g.members) }

// Server returns server i, counted from 0.
func (g *Group) Server(i int) *Server { return g.members[i].server }

// Addresses returns the address of each server by name.
func (g *Group) Addresses() map[authority.ServerID]string {
	addresses := make(map[authority.ServerID]string)
	for _, m := range g.members {
		addresses[m.cfg.ID] = m.server.Address()
	}
	return addresses
}

// Client returns a control client of server i. The caller closes it.
func (g *Group) Client(i int) (*dbgroup.Client, error) {
	m := g.members[i]
	return dbgroup.NewClient(dbgroup.Config{
		Server:   m.cfg.ID,
		Address:  m.server.Address(),
		User:     m.cfg.User,
		Password: m.cfg.Password,
	})
}

// Kill ends server i at once. Its journal is kept.
func (g *Group) Kill(i int) { g.members[i].server.Kill() }

// Pause makes server i stop answering and keeps its sockets.
func (g *Group) Pause(i int) { g.members[i].server.Pause() }

// Resume ends a Pause of server i.
func (g *Group) Resume(i int) { g.members[i].server.Resume() }

// CutPeers drops the replication links of server i while on.
func (g *Group) CutPeers(i int, on bool) { g.members[i].server.CutPeers(on) }

// FreezeReplication stops the application of replicated records at server i while on.
func (g *Group) FreezeReplication(i int, on bool) { g.members[i].server.FreezeReplication(on) }

// Restart kills server i and starts it again at the same address with its journal.
func (g *Group) Restart(i int) error {
	m := g.members[i]
	m.server.Kill()
	server, err := m.relisten()
	if err != nil {
		return err
	}
	m.server = server
	server.serve(m.cfg.Peers)
	return nil
}

// relisten retries while the address is in use, because a connection that a client opens at
// the same moment may take the port for its own end.
func (m *member) relisten() (*Server, error) {
	deadline := time.Now().Add(restartWait)
	for {
		server, err := listen(m.cfg, m.storage)
		if err == nil || time.Now().After(deadline) {
			return server, errors.Wrapf(err, "restart server %s", m.cfg.ID)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Close kills all servers.
func (g *Group) Close() {
	for _, m := range g.members {
		m.server.Kill()
	}
}

// Primary returns the index of the unfenced primary of the highest term, -1 if there is none.
func (g *Group) Primary() int {
	best, term := -1, uint64(0)
	for i, m := range g.members {
		state := m.server.State()
		if !m.server.isRunning() || state.Role != authority.RolePrimary || state.Term <= term {
			continue
		}
		best, term = i, state.Term
	}
	return best
}

// Failover fences a majority at the next term in the name of owner, without server except, and
// promotes the member with the highest position. It returns the new primary's index.
func (g *Group) Failover(owner string, except int) (int, error) {
	term := g.highestTerm() + 1
	best := -1
	var highest authority.ServerState
	for i, m := range g.members {
		if i == except || !m.server.isRunning() {
			continue
		}
		state, err := m.server.state.placeFence(term, owner)
		if err != nil {
			return -1, err
		}
		if best < 0 || highest.Position().Less(state.Position()) {
			best, highest = i, state
		}
	}
	if best < 0 {
		return -1, errors.New("no server is left to promote; restart one")
	}
	_, err := g.members[best].server.state.promote(term, owner)
	return best, err
}

func (g *Group) highestTerm() uint64 {
	var term uint64
	for _, m := range g.members {
		state := m.server.State()
		term = max(term, state.Term, state.FenceTerm)
	}
	return term
}
