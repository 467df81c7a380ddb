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

// Inventory is what the store holds about a deployment.
type Inventory struct {
	Config     catalog.Catalog
	Configured bool // Config was found
	Servers    []discovery.Server
	Instances  []InstanceEntry
	Promotions []Promotion
	// Faults are the objects that can't be read, with the reason.
	Faults []Fault
}

// InstanceEntry is the entry of an instance, and its part of every account's quota.
type InstanceEntry struct {
	objectstore.Instance
	Fractions int // of quota.FractionCount
	Resting   int // of Fractions, not used yet
}

// Promotion is the last order of a promotion.
type Promotion struct {
	Database string
	Server   string
	Instance string // that ordered it
	Fence    uint64
}

// Fault is an object that can't be read.
type Fault struct {
	Object string
	Reason error
}

// ReadInventory reads the store as an operator does: the data may be seconds old, at a tenth of the price of a call.
func ReadInventory(ctx context.Context, store *platform.Store) (Inventory, error) {
	var inv Inventory
	for _, part := range []struct {
		kind string
		take func([]platform.Object)
	}{
		{platform.ConfigKind, inv.takeConfig},
		{platform.ServersKind, inv.takeServers},
		{instancesKind, inv.takeInstances},
		{quotaKind, inv.takeQuota},
		{claimsKind, inv.takePromotions},
	} {
		objects, _, err := store.List(ctx, part.kind, true)
		if errors.Is(err, objectstore.ErrNotFound) {
			continue // nothing of the kind was written yet
		}
		if err != nil {
			return inv, errors.Wrapf(err, "list the objects of kind %s", part.kind)
		}
		part.take(objects)
	}
	return inv, nil
}

func (inv *Inventory) fault(kind, name string, reason error) {
	inv.Faults = append(inv.Faults, Fault{Object: kind + "/" + name, Reason: reason})
}

func (inv *Inventory) takeConfig(objects []platform.Object) {
	c, found, err := platform.DecodeConfig(objects)
	if err != nil {
		inv.fault(platform.ConfigKind, "main", err)
		return
	}
	inv.Config, inv.Configured = c, found
}

func (inv *Inventory) takeServers(objects []platform.Object) {
	for _, o := range objects {
		s, err := platform.DecodeServer(o, nil)
		if err != nil {
			inv.fault(platform.ServersKind, o.Name, err)
			continue
		}
		inv.Servers = append(inv.Servers, s)
	}
	slices.SortFunc(inv.Servers, func(a, b discovery.Server) int {
		return strings.Compare(a.Database+"/"+a.ID, b.Database+"/"+b.ID)
	})
}

func (inv *Inventory) takeInstances(objects []platform.Object) {
	for _, o := range objects {
		var e InstanceEntry
		if err := json.Unmarshal(o.Spec, &e.Instance); err != nil {
			inv.fault(instancesKind, o.Name, errors.Wrap(err, "entry can't be read"))
			continue
		}
		inv.Instances = append(inv.Instances, e)
	}
	slices.SortFunc(inv.Instances, func(a, b InstanceEntry) int { return strings.Compare(a.ID, b.ID) })
}

// takeQuota adds the fractions to the instances. They have to be taken before.
func (inv *Inventory) takeQuota(objects []platform.Object) {
	for _, o := range objects {
		if quotaKind+"/"+o.Name != quotadecision.AssignmentKey {
			continue
		}
		a, err := quotadecision.DecodeAssignment(o.Spec)
		if err != nil {
			inv.fault(quotaKind, o.Name, err)
			continue
		}
		inv.assign(a)
	}
}

func (inv *Inventory) assign(a quotadecision.Assignment) {
	for _, t := range a.Holdings {
		i := slices.IndexFunc(inv.Instances, func(e InstanceEntry) bool { return e.PeerAddress == t.Address })
		if i < 0 {
			inv.fault(quotaKind, "assignment", errors.Newf("%s holds %d fractions and is not on the list of instances", t.Address, t.Fractions.Count()))
			continue
		}
		inv.Instances[i].Fractions = t.Fractions.Count()
		inv.Instances[i].Resting = t.Quarantined.Count()
	}
}

func (inv *Inventory) takePromotions(objects []platform.Object) {
	for _, o := range objects {
		var c claim
		if err := json.Unmarshal(o.Spec, &c); err != nil {
			inv.fault(claimsKind, o.Name, errors.Wrap(err, "claim can't be read"))
			continue
		}
		inv.Promotions = append(inv.Promotions, Promotion{Database: o.Name, Server: c.Server, Instance: c.Instance, Fence: o.Revision})
	}
	slices.SortFunc(inv.Promotions, func(a, b Promotion) int { return strings.Compare(a.Database, b.Database) })
}
