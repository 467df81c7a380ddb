package ctl

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/catalog"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/proxy/boottime"
	"github.com/cyclamenstile/cyclamenstile/proxy/node"
)

const inspectHelp = `inspect shows what the store of the users' platform holds about a deployment: the configuration, the servers that are
registered, the instances with their part of every account's quota, the last promotion of each database, the evacuated
failure domains, and the home regions of routes, accounts and the primaries of databases. It reads only; the data may be
seconds old. Objects that can't be read are listed with the reason.`

// inspectResult is the JSON form of an inventory.
type inspectResult struct {
	Era        uint64               `json:"era"`     // of the store; 0 if it has none
	Version    uint64               `json:"version"` // of the configuration; 0 if there is none
	Routes     int                  `json:"routes"`
	Accounts   int                  `json:"accounts"`
	Servers    []inspectedServer    `json:"servers"`
	Instances  []inspectedInstance  `json:"instances"`
	Promotions []inspectedPromotion `json:"promotions"`
	// Evacuations are the evacuated failure domains.
	Evacuations []inspectedEvacuation `json:"evacuations"`
	Homes       []inspectedHome       `json:"homes"`
	Faults      []string              `json:"faults"`
}

type inspectedServer struct {
	Database      string `json:"database"`
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving"`
	Evacuated     bool   `json:"evacuated"`
	Slots         int    `json:"slots"`
	ColdMillis    int64  `json:"coldMillis"` // how much longer it was to be cold when it wrote the entry; 0 if it is warm
}

type inspectedInstance struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peerAddress"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Fractions     int    `json:"fractions"`
	Quarantined   int    `json:"resting"`
}

type inspectedEvacuation struct {
	FailureDomain  string   `json:"failureDomain"`
	InForce        bool     `json:"inForce"`
	Instances      int      `json:"instances"` // that have applied it
	WithoutPrimary []string `json:"withoutPrimary"`
}

type inspectedPromotion struct {
	Database string `json:"database"`
	Server   string `json:"server"`
	Instance string `json:"instance"`
	Fence    uint64 `json:"fence"`
}

// inspectedHome names the regions that bind the requests on a route or of an account, or in which the primary of a database
// belongs.
type inspectedHome struct {
	Of      string   `json:"of"` // route, account or database
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
}

func newInspect(o *options) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "inspect",
		Short: "Show what the store of the users' platform holds about a deployment",
		Long:  inspectHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return usagef("--platform-store: %q is not an IP address with a port; write it like 10.200.1.7:8466", address)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			result, err := inspect(ctx, address)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), result)
		},
	}
	cmd.Flags().StringVar(&address, "platform-store", "", "IP:port of the platform's metadata store")
	return cmd
}

func inspect(ctx context.Context, address string) (inspectResult, error) {
	eras := objectstore.NewEras(boottime.Now, nil)
	store := platform.NewStore(address, (&net.Dialer{}).DialContext, eras)
	defer store.Close()
	inv, err := node.ReadInventory(ctx, store)
	if err != nil {
		return inspectResult{}, err
	}
	r := newInspectResult(inv)
	r.Era = eras.Era()
	return r, nil
}

// newInspectResult converts an inventory for output; empty lists are [] in JSON, not null.
func newInspectResult(inv node.Inventory) inspectResult {
	r := inspectResult{
		Version: inv.Config.Version, Routes: len(inv.Config.Routes), Accounts: len(inv.Config.Accounts),
		Servers: []inspectedServer{}, Instances: []inspectedInstance{}, Promotions: []inspectedPromotion{},
		Evacuations: []inspectedEvacuation{}, Homes: inspectHomes(inv.Config), Faults: []string{},
	}
	for _, s := range inv.Servers {
		role := "replica"
		if s.Primary {
			role = "primary"
		}
		r.Servers = append(r.Servers, inspectedServer{
			s.Database, s.ID, s.Address, s.FailureDomain, role, s.Leaving, s.Evacuated, s.Slots, s.WarmupRemaining.Milliseconds(),
		})
	}
	for _, i := range inv.Instances {
		r.Instances = append(r.Instances, inspectedInstance{i.ID, i.PeerAddress, i.Region, i.FailureDomain, i.Fractions, i.Quarantined})
	}
	for _, p := range inv.Promotions {
		r.Promotions = append(r.Promotions, inspectedPromotion(p))
	}
	for _, e := range inv.Evacuations {
		without := append([]string{}, e.WithoutPrimary...)
		r.Evacuations = append(r.Evacuations, inspectedEvacuation{e.FailureDomain, e.InForce, e.Instances, without})
	}
	for _, f := range inv.Unreadable {
		r.Faults = append(r.Faults, f.Object+": "+f.Reason.Error())
	}
	return r
}

// inspectHomes lists what is bound to regions. Routes, accounts and databases that are not bound are left out.
func inspectHomes(c catalog.Catalog) []inspectedHome {
	homes := []inspectedHome{}
	for _, r := range c.Routes {
		if len(r.Homes) > 0 {
			homes = append(homes, inspectedHome{"route", r.Name, r.Homes})
		}
	}
	for _, a := range c.Accounts {
		if regions := c.AccountHomes[a.Name]; len(regions) > 0 {
			homes = append(homes, inspectedHome{"account", a.Name, regions})
		}
	}
	snapshot := catalog.NewSnapshot(c)
	for _, d := range c.Databases {
		if regions := snapshot.PrimaryHomes(d.Name); regions.Bound() {
			homes = append(homes, inspectedHome{"database", d.Name, regions.Names()})
		}
	}
	return homes
}

func (r inspectResult) writeText(w io.Writer) {
	if r.Version == 0 {
		fmt.Fprintln(w, "no configuration")
	} else {
		fmt.Fprintf(w, "configuration %d: %d routes, %d accounts\n", r.Version, r.Routes, r.Accounts)
	}
	if r.Era > 0 {
		fmt.Fprintf(w, "store: era %d\n", r.Era)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nDATABASE\tSERVER\tADDRESS\tFAILURE DOMAIN\tROLE\tLEAVING\tEVACUATED\tSLOTS\tCOLD")
	for _, s := range r.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%t\t%t\t%d\t%s\n", s.Database, s.ID, s.Address, s.FailureDomain, s.Role, s.Leaving, s.Evacuated, s.Slots, coldText(s.ColdMillis))
	}
	fmt.Fprintln(table, "\nINSTANCE\tPEER ADDRESS\tREGION\tFAILURE DOMAIN\tFRACTIONS\tRESTING")
	for _, i := range r.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", i.ID, i.PeerAddress, i.Region, i.FailureDomain,
			strconv.Itoa(i.Fractions)+"/"+strconv.Itoa(quota.FractionCount), i.Quarantined)
	}
	if len(r.Promotions) > 0 {
		fmt.Fprintln(table, "\nDATABASE\tPROMOTED\tORDERED BY\tFENCE")
	}
	for _, p := range r.Promotions {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", p.Database, p.Server, p.Instance, p.Fence)
	}
	if len(r.Evacuations) > 0 {
		fmt.Fprintln(table, "\nEVACUATED DOMAIN\tIN FORCE\tINSTANCES\tWITHOUT A PRIMARY")
	}
	for _, e := range r.Evacuations {
		fmt.Fprintf(table, "%s\t%t\t%d\t%s\n", e.FailureDomain, e.InForce, e.Instances, strings.Join(e.WithoutPrimary, " "))
	}
	if len(r.Homes) > 0 {
		fmt.Fprintln(table, "\nHOME OF\tNAME\tREGIONS")
	}
	for _, h := range r.Homes {
		fmt.Fprintf(table, "%s\t%s\t%s\n", h.Of, h.Name, strings.Join(h.Regions, ", "))
	}
	_ = table.Flush()
}

// coldText renders the remaining time of a cold server.
func coldText(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
