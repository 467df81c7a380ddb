package catalog

import (
	"maps"
	"slices"

	"github.com/cyclamenstile/cyclamenstile/decision/home"
)

// homes are the regions named in a catalog. Names without an entry are not bound.
type homes struct {
	byRoute, byAccount map[string]home.Regions
	// ofPrimary holds, by database, the regions in which the primary belongs.
	ofPrimary map[string]home.Regions
}

func newHomes(c Catalog) homes {
	h := homes{byRoute: map[string]home.Regions{}, byAccount: map[string]home.Regions{}, ofPrimary: map[string]home.Regions{}}
	byDatabase := map[string][]home.Regions{}
	seen := map[string]bool{}
	for _, r := range c.Routes {
		repeated := seen[r.Name] // only the first route of a name is used
		seen[r.Name] = true
		if repeated || len(r.Homes) == 0 {
			continue
		}
		regions := home.NewRegions(r.Homes)
		h.byRoute[r.Name] = regions
		byDatabase[r.Database] = append(byDatabase[r.Database], regions)
	}
	for account, names := range c.AccountHomes {
		h.byAccount[account] = home.NewRegions(names)
	}
	for database, routes := range byDatabase {
		if common, ok := home.RegionsOfPrimary(routes); ok {
			h.ofPrimary[database] = common
		}
	}
	return h
}

// PrimaryHomes returns the regions in which the primary of a database belongs; all regions if its routes name none or
// have none in common.
func (s *Snapshot) PrimaryHomes(database string) home.Regions {
	return s.homes.ofPrimary[database]
}

// UnknownHome is a region that a route or an account names and that no failure domain has.
type UnknownHome struct {
	Region   string
	Routes   []string
	Accounts []string
}

// UnknownHomes returns the named regions that are not among the known ones, sorted.
func (s *Snapshot) UnknownHomes(known func(region string) bool) []UnknownHome {
	found := map[string]UnknownHome{}
	for _, route := range slices.Sorted(maps.Keys(s.homes.byRoute)) {
		for _, region := range s.homes.byRoute[route].Names() {
			u := found[region]
			u.Routes = append(u.Routes, route)
			found[region] = u
		}
	}
	for _, account := range slices.Sorted(maps.Keys(s.homes.byAccount)) {
		for _, region := range s.homes.byAccount[account].Names() {
			u := found[region]
			u.Accounts = append(u.Accounts, account)
			found[region] = u
		}
	}
	var unknown []UnknownHome
	for _, region := range slices.Sorted(maps.Keys(found)) {
		if known(region) {
			continue
		}
		u := found[region]
		u.Region = region
		unknown = append(unknown, u)
	}
	return unknown
}
