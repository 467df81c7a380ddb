package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/discovery"
	quotadecision "github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

// Inventory is the state of a deployment in the store.
type Inventory struct {
	Config     catalog.Catalog
	Configured bool // whether the store holds Config
	Servers    []discovery.Server
	Instances  []InstanceEntry
	Promotions []Promotion
	// Evacuations are the evacuated failure domains.
	Evacuations []Evacuation
	// Unreadable are the objects that can't be decoded.
	Unreadable []UnreadableObject
}

// InstanceEntry is the entry of an instance with its share of the quota of every account.
type InstanceEntry struct {
	objectstore.Instance
	Fractions   int // out of quota.FractionCount
	Quarantined int // of Fractions, not usable yet because an earlier holder may still use them
}

// Promotion is the last promotion order of a database.
type Promotion struct {
	Database string
	Server   string
	Instance string // that ordered the promotion
	Fence    uint64
}

// Evacuation is the evacuation of a failure domain.
type Evacuation struct {
	FailureDomain string
	InForce       bool // it was acknowledged
	platform.Acknowledgement
}

// UnreadableObject is an object that can't be decoded, with the reason.
type UnreadableObject struct {
	Object string
	Reason error
}

// ReadInventory reads the store for an operator. It allows stale reads, whose data may be seconds old and which cost a
// tenth of a consistent read.
func ReadInventory(ctx context.Context, store *platform.Store) (Inventory, error) {
	var inv Inventory
	for _, part := range []struct {
		kind string
		add  func([]platform.Object)
	}{
		{platform.ConfigKind, inv.addConfig},
		{platform.ServersKind, inv.addServers},
		{instancesKind, inv.addInstances},
		{quotaKind, inv.addQuota},
		{claimsKind, inv.addPromotions},
		{platform.EvacuationsKind, inv.addEvacuations},
	} {
		objects, _, err := store.List(ctx, part.kind, true)
		if errors.Is(err, objectstore.ErrNotFound) {
			continue // no object of the kind was written yet
		}
		if err != nil {
			return inv, errors.Wrapf(err, "list the objects of kind %s", part.kind)
		}
		part.add(objects)
	}
	return inv, nil
}

func (inv *Inventory) addUnreadable(kind, name string, reason error) {
	inv.Unreadable = append(inv.Unreadable, UnreadableObject{Object: kind + "/" + name, Reason: reason})
}

func (inv *Inventory) addConfig(objects []platform.Object) {
	c, found, err := platform.DecodeConfig(objects)
	if err != nil {
		inv.addUnreadable(platform.ConfigKind, "main", err)
		return
	}
	inv.Config, inv.Configured = c, found
}

func (inv *Inventory) addServers(objects []platform.Object) {
	for _, o := range objects {
		s, err := platform.DecodeServer(o, nil)
		if err != nil {
			inv.addUnreadable(platform.ServersKind, o.Name, err)
			continue
		}
		inv.Servers = append(inv.Servers, s)
	}
	slices.SortFunc(inv.Servers, func(a, b discovery.Server) int {
		return strings.Compare(a.Database+"/"+a.ID, b.Database+"/"+b.ID)
	})
}

func (inv *Inventory) addInstances(objects []platform.Object) {
	for _, o := range objects {
		var e InstanceEntry
		if err := json.Unmarshal(o.Spec, &e.Instance); err != nil {
			inv.addUnreadable(instancesKind, o.Name, errors.Wrap(err, "entry can't be read"))
			continue
		}
		inv.Instances = append(inv.Instances, e)
	}
	slices.SortFunc(inv.Instances, func(a, b InstanceEntry) int { return strings.Compare(a.ID, b.ID) })
}

// addQuota adds the fractions to the instances, which must have been added before.
func (inv *Inventory) addQuota(objects []platform.Object) {
	for _, o := range objects {
		if quotaKind+"/"+o.Name != quotadecision.AssignmentKey {
			continue
		}
		a, err := quotadecision.DecodeAssignment(o.Spec)
		if err != nil {
			inv.addUnreadable(quotaKind, o.Name, err)
			continue
		}
		inv.addFractions(a)
	}
}

func (inv *Inventory) addFractions(a quotadecision.Assignment) {
	for _, holding := range a.Holdings {
		i := slices.IndexFunc(inv.Instances, func(e InstanceEntry) bool { return e.PeerAddress == holding.Address })
		if i < 0 {
			inv.addUnreadable(quotaKind, "assignment", errors.Newf("%s holds %d fractions and is not on the list of instances", holding.Address, holding.Fractions.Count()))
			continue
		}
		inv.Instances[i].Fractions = holding.Fractions.Count()
		inv.Instances[i].Quarantined = holding.Quarantined.Count()
	}
}

func (inv *Inventory) addPromotions(objects []platform.Object) {
	for _, o := range objects {
		var c claim
		if err := json.Unmarshal(o.Spec, &c); err != nil {
			inv.addUnreadable(claimsKind, o.Name, errors.Wrap(err, "claim can't be read"))
			continue
		}
		inv.Promotions = append(inv.Promotions, Promotion{Database: o.Name, Server: c.Server, Instance: c.Instance, Fence: o.Revision})
	}
	slices.SortFunc(inv.Promotions, func(a, b Promotion) int { return strings.Compare(a.Database, b.Database) })
}

// addEvacuations adds the evacuations, and marks the servers, which must have been added before.
func (inv *Inventory) addEvacuations(objects []platform.Object) {
	for _, o := range objects {
		if err := platform.CheckEvacuation(o); err != nil {
			inv.addUnreadable(platform.EvacuationsKind, o.Name, err)
		}
		e := Evacuation{FailureDomain: o.Name}
		var err error
		if e.Acknowledgement, e.InForce, err = platform.DecodeAcknowledgement(o.Status); err != nil {
			inv.addUnreadable(platform.EvacuationsKind, o.Name, err)
		}
		inv.Evacuations = append(inv.Evacuations, e)
		for i := range inv.Servers {
			inv.Servers[i].Evacuated = inv.Servers[i].Evacuated || inv.Servers[i].FailureDomain == o.Name
		}
	}
	slices.SortFunc(inv.Evacuations, func(a, b Evacuation) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
}
