package benchcmd

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/quota"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

const (
	// driverWarmUp lets the owner claim its fractions and the caller build up its stock of tokens.
	driverWarmUp = 300 * time.Millisecond
	driverWindow = time.Second
)

// quotaDriver measures the quota driver of an instance that serves callers, with the pool owner on
// loopback.
func quotaDriver() measurement {
	const per = "account with 100 statements/s, owner on loopback"
	return measurement{
		sizes: []int{4, 8, 16},
		quantities: []quantity{
			{"quota.driver.calls", "calls/s", per, "proxy/quota"},
			{"quota.driver.bytes", "B/s", per, "proxy/quota"},
			{"quota.driver.cpu", "µs/s", per + ", both ends", "proxy/quota"},
			{"quota.driver.refused", "statements/s", per, "proxy/quota"},
		},
		setUp: func(ctx context.Context) (measureAtSize, func(), error) {
			b, stop, err := startDrivers(ctx)
			if err != nil {
				return nil, stop, err
			}
			return func(size int) ([]float64, error) { return b.measure(ctx, size) }, stop, nil
		},
	}
}

// singleOwner presents one instance as the owner of all pools. With listed 0 the driver claims no
// fractions.
type singleOwner struct {
	address string
	listed  int
}

// Live implements quota.Peers.
func (o singleOwner) Live() []string { return []string{o.address} }

// Listed implements quota.Peers.
func (o singleOwner) Listed() []string { return o.Live() }

// ListedCount implements quota.Peers.
func (o singleOwner) ListedCount() int { return o.listed }

// quotaPeer answers the peer calls of another instance's driver.
type quotaPeer struct {
	gossipPeer
	*quota.Driver
}

// driverBench holds the drivers of an instance that serves callers and of the owner of its pools.
type driverBench struct {
	caller, owner *quota.Driver
	traffic       *peer.Traffic
}

func startDrivers(ctx context.Context) (*driverBench, func(), error) {
	s, err := store.Start("127.0.0.1:0")
	if err != nil {
		return nil, noStop, err
	}
	stops := []func(){func() { _ = s.Close() }}
	stop := func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, stop, err
	}
	address := listener.Addr().String()
	b := &driverBench{traffic: &peer.Traffic{}}
	client := peer.NewClient(peer.ClientConfig{Traffic: b.traffic})
	stops = append(stops, func() { _ = client.Close() })
	if b.owner, err = newDriver(s.URL(), address, singleOwner{address, 1}, client); err != nil {
		return nil, stop, err
	}
	if b.caller, err = newDriver(s.URL(), callerAddress, singleOwner{address, 0}, client); err != nil {
		return nil, stop, err
	}
	stopPeer, err := servePeer(ctx, listener, &quotaPeer{Driver: b.owner}, nil)
	if err != nil {
		return nil, stop, err
	}
	stops = append(stops, stopPeer, runDrivers(ctx, b.owner, b.caller))
	return b, stop, nil
}

func newDriver(storeURL, self string, peers quota.Peers, peerClients quota.PeerClients) (*quota.Driver, error) {
	client, err := httpstore.New(httpstore.Config{BaseURL: storeURL})
	if err != nil {
		return nil, err
	}
	return quota.New(quota.Config{
		Self: self, Store: client, Peers: peers, PeerClients: peerClients,
		Rand: rand.New(rand.NewSource(1)), Log: discardLog(),
	})
}

// runDrivers runs the drivers until stop is called.
func runDrivers(ctx context.Context, drivers ...*quota.Driver) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, d := range drivers {
		running.Go(func() { d.Run(ctx) })
	}
	return func() { cancel(); running.Wait() }
}

func (b *driverBench) measure(ctx context.Context, accounts int) ([]float64, error) {
	list := make([]manifest.Account, accounts)
	for i := range list {
		list[i] = manifest.Account{Name: accountName(i), Rate: accountRate, Burst: accountBurst}
	}
	b.owner.SetAccounts(list)
	b.caller.SetAccounts(list)
	b.sendStatements(ctx, accounts, driverWarmUp)
	before, bytesBefore := b.caller.Stats(), b.transferredBytes()
	cpu, err := cpuCost(func() error { b.sendStatements(ctx, accounts, driverWindow); return nil })
	after := b.caller.Stats()
	seconds := driverWindow.Seconds()
	return []float64{
		float64(after.GrantRequests-before.GrantRequests) / seconds, (b.transferredBytes() - bytesBefore) / seconds,
		cpu / seconds, float64(after.Refused-before.Refused) / seconds,
	}, err
}

func (b *driverBench) transferredBytes() float64 {
	return float64(b.traffic.Sent.Load() + b.traffic.Received.Load())
}

// sendStatements submits quotaFastRate statements/s for each account. The driver counts refusals.
func (b *driverBench) sendStatements(ctx context.Context, accounts int, span time.Duration) {
	var callers sync.WaitGroup
	for a := range accounts {
		callers.Go(func() {
			ticker := time.NewTicker(time.Second / quotaFastRate)
			defer ticker.Stop()
			for range int(span.Seconds() * quotaFastRate) {
				_ = b.caller.Admit(ctx, accountName(a))
				<-ticker.C
			}
		})
	}
	callers.Wait()
}
