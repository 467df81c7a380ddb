package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// locatorRefresh is the interval at which the candidates are updated from the peer set.
const locatorRefresh = 200 * time.Millisecond

// unreachableSkipTime is how long an instance that did not answer a checkout is skipped. By then the
// heartbeat has found whether it is reachable.
const unreachableSkipTime = 2 * time.Second

// locator implements home.Locator by rendezvous hashing over the reachable instances of the server's
// region, or over all reachable instances where that region has none. A home in another region would
// add the latency between regions to every message of a statement and hold the server's slot meanwhile.
type locator struct {
	self       string
	region     string // of this instance
	set        *peer.Set
	candidates atomic.Pointer[candidates]
	// serverRegions maps servers to their regions.
	serverRegions atomic.Pointer[map[authority.ServerID]string]

	mu       sync.Mutex
	draining bool                 // this instance is a home only if there is no other candidate
	skipped  map[string]time.Time // end of the skip time by peer address
}

// candidates are the peer addresses of the instances that may be homes. Choices are cached while the
// candidates stay the same: a choice hashes every instance, which at 2,100 instances and 2,095
// statements per second would take a fifth of a core.
type candidates struct {
	all      []string
	regions  map[string]string // by address
	byRegion map[string][]string
	homes    sync.Map // serverRegion to the home's address
}

// serverRegion is a server and its region.
type serverRegion struct {
	server authority.ServerID
	region string
}

// newCandidates groups live addresses by region.
func newCandidates(live []string, regions map[string]string) *candidates {
	c := &candidates{all: live, regions: regions, byRegion: make(map[string][]string)}
	for _, address := range live {
		region := regions[address]
		c.byRegion[region] = append(c.byRegion[region], address)
	}
	return c
}

// home returns the home of a server in a region.
func (c *candidates) home(server authority.ServerID, region string) string {
	key := serverRegion{server, region}
	if home, ok := c.homes.Load(key); ok {
		return home.(string)
	}
	home := c.choose(server, region)
	c.homes.Store(key, home)
	return home
}

// equal reports whether the candidates have the given addresses and regions.
func (c *candidates) equal(live []string, regions map[string]string) bool {
	return slices.Equal(c.all, live) && maps.Equal(c.regions, regions)
}

func (c *candidates) choose(server authority.ServerID, region string) string {
	if inRegion := c.byRegion[region]; len(inRegion) > 0 {
		return peer.Rendezvous(string(server), inRegion)
	}
	return peer.Rendezvous(string(server), c.all)
}

func newLocator(set *peer.Set, self, region string) *locator {
	l := &locator{self: self, region: region, set: set, skipped: make(map[string]time.Time)}
	l.candidates.Store(newCandidates([]string{self}, map[string]string{self: region}))
	l.serverRegions.Store(&map[authority.ServerID]string{})
	return l
}

// setServers sets the servers of an adopted manifest.
func (l *locator) setServers(servers []manifest.Server) {
	regions := make(map[authority.ServerID]string, len(servers))
	for _, s := range servers {
		regions[authority.ServerID(s.ID)] = s.Region
	}
	l.serverRegions.Store(&regions)
}

func (l *locator) run(ctx context.Context) {
	l.refresh(time.Now())
	wait.Every(ctx, locatorRefresh, func() { l.refresh(time.Now()) })
}

func (l *locator) refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.skipped, func(_ string, until time.Time) bool { return !until.After(now) })
	live := slices.DeleteFunc(l.set.Usable(), func(address string) bool {
		_, skipped := l.skipped[address]
		return skipped || l.draining && address == l.self
	})
	if len(live) == 0 {
		live = []string{l.self}
	}
	if regions := l.regions(); !l.candidates.Load().equal(live, regions) {
		l.candidates.Store(newCandidates(live, regions))
	}
}

// regions returns the regions of all listed instances by peer address.
func (l *locator) regions() map[string]string {
	regions := map[string]string{l.self: l.region}
	for _, p := range l.set.Peers() {
		regions[p.Instance.PeerAddress] = p.Instance.Region
	}
	return regions
}

// drain makes other instances the homes of all servers.
func (l *locator) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.refresh(time.Now())
}

// Home implements home.Locator.
func (l *locator) Home(server authority.ServerID) (string, bool) {
	region := (*l.serverRegions.Load())[server]
	address := l.candidates.Load().home(server, region)
	return address, address == l.self
}

func (l *locator) isHome(server authority.ServerID) bool {
	_, self := l.Home(server)
	return self
}

// MarkUnreachable implements home.Locator.
func (l *locator) MarkUnreachable(address string) {
	now := time.Now()
	l.mu.Lock()
	l.skipped[address] = now.Add(unreachableSkipTime)
	l.mu.Unlock()
	l.refresh(now)
}
