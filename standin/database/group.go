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

// restartWait limits how long a restart waits for the address of the killed server to become free.
const restartWait = 5 * time.Second

// GroupConfig describes a group of servers in one process.
type GroupConfig struct {
	Size int // DefaultGroupSize if 0
	// Server holds the settings that all servers share. ID, Listen, Peers and Primary are set by
	// the group; each server gets its own seed and, with DataDir, its own directory below it.
	Server Config
	// PeerAddress, if set, returns the address at which from connects to to, so that a relay can be
	// placed between them. address is the address of to's listener.
	PeerAddress func(from, to authority.ServerID, address string) string
}

// Group is a group of servers named s1, s2, ... on the loopback interface. s1 starts as the primary. A
// Group is not safe for concurrent use.
type Group struct {
	cfg     GroupConfig
	members []*member
}

type member struct {
	cfg     Config
	storage storage // nil when the journal is in a directory
	server  *Server
}

// StartGroup starts a group with all its servers.
func StartGroup(cfg GroupConfig) (*Group, error) {
	if cfg.Size == 0 {
		cfg.Size = DefaultGroupSize
	}
	g := &Group{cfg: cfg}
	for i := range cfg.Size {
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

// Kill stops server i immediately. Its journal is kept.
func (g *Group) Kill(i int) { g.members[i].server.Kill() }

// Pause suspends server i and keeps its sockets open.
func (g *Group) Pause(i int) { g.members[i].server.Pause() }

// Resume ends the pause of server i.
func (g *Group) Resume(i int) { g.members[i].server.Resume() }

// CutPeers drops the replication links of server i while on.
func (g *Group) CutPeers(i int, on bool) { g.members[i].server.CutPeers(on) }

// FreezeReplication stops server i from applying replicated records while on.
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

// relisten listens on the server's former address. It retries while the address is in use, because an
// outgoing connection opened in the meantime may use the port as its local port.
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

// Primary returns the index of the running, unfenced primary of the highest term, -1 if there is none.
func (g *Group) Primary() int {
	primary, highestTerm := -1, uint64(0)
	for i, m := range g.members {
		state := m.server.State()
		if !m.server.isRunning() || state.Role != authority.RolePrimary || state.Term <= highestTerm {
			continue
		}
		primary, highestTerm = i, state.Term
	}
	return primary
}

// Failover fences all running servers but server except at the next term for owner, and promotes the one
// with the highest position. It returns the index of the new primary.
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
		return -1, errors.New("no running server can be promoted; restart one")
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
