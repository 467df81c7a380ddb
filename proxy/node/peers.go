package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/proxy/peer/peerpb"
)

// errNoManifest is returned to peers that request a manifest: in these deployments each instance reads the store.
var errNoManifest = errors.New("instances of this deployment read the configuration from the store")

// heartbeatHandler answers heartbeats of peers. It implements peer.ConfigHandler.
type heartbeatHandler struct {
	node *Node
}

// Gossip implements peer.ConfigHandler.
func (h heartbeatHandler) Gossip(_ context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	h.node.quota.ObserveFractionsVersion(in.GetFractionsVersion())
	h.node.directory.observePeer(in.GetFrom(), in.GetManifestVersion())
	if era := in.GetStoreEra(); era != 0 {
		h.node.eras.Learn(era, in.GetFrom())
	}
	h.node.peers.Heard(in.GetFrom())
	h.node.peers.SetLeaving(in.GetFrom(), in.GetLeaving())
	return h.digest(), nil
}

// FetchManifest implements peer.ConfigHandler.
func (heartbeatHandler) FetchManifest(context.Context, *peerpb.ManifestRequest) (*peerpb.Manifest, error) {
	return nil, errNoManifest
}

func (h heartbeatHandler) digest() *peerpb.Digest {
	return &peerpb.Digest{
		From:             h.node.settings.Listen.Peers,
		ManifestVersion:  h.node.directory.Version(),
		FractionsVersion: h.node.quota.FractionsVersion(),
		StoreEra:         h.node.eras.Era(),
		Leaving:          h.node.stopping.Load(),
	}
}
