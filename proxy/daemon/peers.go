package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	// fetchTimeout bounds the transfer of a manifest of up to 1 MB from a peer.
	fetchTimeout = 5 * time.Second
	// unknownAge is the age in a digest if the instance has no confirmed contact with the store.
	unknownAge = ^uint64(0)
	// releaseIdlePeriod is the interval at which idle connections to servers that have another home are
	// closed.
	releaseIdlePeriod = time.Second
)

// gossipHandler answers the configuration calls of peers.
type gossipHandler struct {
	daemon *Daemon
}

// Gossip implements peer.ConfigHandler. The digest in a peer's call doesn't prove contact, since its age
// is not known, but it shows whether the peer has a newer manifest.
func (g *gossipHandler) Gossip(ctx context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	g.daemon.quota.ObserveFractionsVersion(in.GetFractionsVersion())
	g.daemon.peers.Heard(in.GetFrom())
	g.updateLeaving(in)
	if in.GetManifestVersion() > g.daemon.directory.State().Version {
		g.fetchInBackground(ctx, in)
	}
	state := g.daemon.directory.StateFor(in.GetFrom(), in.GetContact().GetList())
	return g.newDigest(state), nil
}

// updateLeaving records whether a peer drains. The servers of a draining peer get another home at once.
func (g *gossipHandler) updateLeaving(in *peerpb.Digest) {
	g.daemon.peers.SetLeaving(in.GetFrom(), in.GetLeaving())
	if in.GetLeaving() {
		g.daemon.locator.refresh(time.Now())
	}
}

// FetchManifest implements peer.ConfigHandler.
func (g *gossipHandler) FetchManifest(_ context.Context, in *peerpb.ManifestRequest) (*peerpb.Manifest, error) {
	if deltas, version, ok := g.daemon.directory.FetchDeltas(in.GetHave(), in.GetVersion()); ok {
		return &peerpb.Manifest{Version: version, Deltas: deltas}, nil
	}
	document, version, ok := g.daemon.directory.Fetch(in.GetVersion())
	if !ok {
		return nil, errors.Newf("manifest version %d is not in force here; fetch it from another peer", in.GetVersion())
	}
	return &peerpb.Manifest{Version: version, Document: document}, nil
}

// digest returns the digest that this instance sends in its calls.
func (g *gossipHandler) digest() *peerpb.Digest {
	return g.newDigest(g.daemon.directory.State())
}

func (g *gossipHandler) newDigest(state manifest.PeerState) *peerpb.Digest {
	age := unknownAge
	if state.Confirmed {
		age = uint64(state.ConfirmedAge.Milliseconds())
	}
	return &peerpb.Digest{
		From:              g.daemon.peerAddress(),
		ManifestVersion:   state.Version,
		StoreContactAgeMs: age,
		FractionsVersion:  g.daemon.quota.FractionsVersion(),
		Leaving:           g.daemon.stopping.Load(),
		Contact:           peer.EvidenceToWire(state.Evidence),
	}
}

// fetchInBackground fetches a newer manifest from the peer whose digest announced it: the deltas if
// possible, otherwise the whole document.
func (g *gossipHandler) fetchInBackground(ctx context.Context, from *peerpb.Digest) {
	d := g.daemon
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	go func() {
		defer cancel()
		err := d.fetchAndOffer(ctx, from.GetFrom(), &peerpb.ManifestRequest{
			Version: from.GetManifestVersion(),
			Have:    d.directory.State().Version,
		})
		behind := d.directory.State().Version < from.GetManifestVersion() // false if another fetch adopted it
		if behind && errors.Is(err, manifest.ErrDeltaMismatch) {
			err = d.fetchAndOffer(ctx, from.GetFrom(), &peerpb.ManifestRequest{Version: from.GetManifestVersion()})
		}
		if behind && err != nil {
			event(d.log, EventFetchFailed).WithError(err).WithField("peer", from.GetFrom()).
				Warn("failed to fetch or adopt a newer manifest from a peer; the next gossip retries")
		}
	}()
}

// fetchAndOffer fetches a manifest from a peer and offers it to the directory.
func (d *Daemon) fetchAndOffer(ctx context.Context, address string, request *peerpb.ManifestRequest) error {
	m, err := d.peerClient.PeerClient(ctx, address).FetchManifest(ctx, request)
	if err != nil {
		return err
	}
	if len(m.GetDeltas()) > 0 {
		return d.directory.OfferDeltas(m.GetDeltas())
	}
	return d.directory.Offer(m.GetDocument(), m.GetVersion())
}

// onAnswer handles a peer's answer to this instance's own gossip, which was sent at the given time of the
// directory's clock.
func (g *gossipHandler) onAnswer(ctx context.Context, sent time.Duration, in *peerpb.Digest) {
	d := g.daemon
	d.quota.ObserveFractionsVersion(in.GetFractionsVersion())
	g.updateLeaving(in)
	newer := d.directory.PeerAnswered(sent, manifest.PeerState{
		Instance:     in.GetFrom(),
		Version:      in.GetManifestVersion(),
		Confirmed:    in.GetStoreContactAgeMs() != unknownAge,
		ConfirmedAge: time.Duration(in.GetStoreContactAgeMs()) * time.Millisecond,
		Evidence:     peer.EvidenceFromWire(in.GetContact()),
	})
	if newer {
		g.fetchInBackground(ctx, in)
	}
}

// observedList validates the instance list and passes it to the directory whenever it is read.
type observedList struct {
	objectstore.InstanceList
	daemon *Daemon
}

// Instances implements objectstore.InstanceList.
func (l *observedList) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	list, err := l.InstanceList.Instances(ctx)
	if err != nil {
		return nil, err
	}
	self := l.daemon.peerAddress()
	if err := checkListedAddress(list, l.daemon.cfg.InstanceID, self); err != nil {
		return nil, err
	}
	l.daemon.directory.SetInstances(peer.Members(list))
	return list, nil
}

// releaseIdle closes idle connections to servers that now have another home, so that they don't count
// against the server's limit in addition to those of that home.
func (d *Daemon) releaseIdle(ctx context.Context) {
	d.pool.ReleaseIdle(d.locator.isHome)
	wait.Every(ctx, releaseIdlePeriod, func() { d.pool.ReleaseIdle(d.locator.isHome) })
}
