package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"
)

// Limits of a manifest. They catch values in a wrong unit; none is close to a sensible setting.
const (
	// MinServers is the smallest group in which a majority survives the loss of one server.
	MinServers          = 3
	MaxWeight           = 1000
	MaxConnections      = 10_000 // per server
	MaxRate             = 1e7    // statements per second of one account
	MinDuration         = time.Millisecond
	MaxReadWait         = 10 * time.Second
	MaxQueueTimeout     = 5 * time.Minute
	MaxConfirmTimeout   = 5 * time.Minute
	MaxStatementTimeout = 24 * time.Hour
	MaxStalenessTime    = 24 * time.Hour
)

// namePattern restricts names to those usable in log lines, metric labels and start-up parameters.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Validate returns all faults of m, in document order.
func (m Manifest) Validate() Faults {
	var f Faults
	if m.APIVersion != APIVersion {
		f.add("apiVersion", fmt.Sprintf("format %q is not supported", m.APIVersion), "write "+APIVersion)
	}
	if m.Version == 0 {
		f.add("version", "version is 0", "write a version above the one in the store, at least 1")
	}
	f.checkDatabases(m.Databases)
	f.checkAccounts(m.Accounts)
	f.checkRoutes(m)
	return f
}

// firstUses maps values that must be unique to the path of their first use.
type firstUses map[string]string

func (f *Faults) checkUnique(uses firstUses, path, what, value string) {
	if first, ok := uses[value]; ok {
		f.add(path, fmt.Sprintf("%s %q is already used at %s", what, value, first), "choose another or remove one of the two")
		return
	}
	uses[value] = path
}

func (f *Faults) checkName(uses firstUses, path, what, value string) {
	if !namePattern.MatchString(value) {
		f.add(path, fmt.Sprintf("%s %q is not valid", what, value),
			"use 1 to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit")
		return
	}
	f.checkUnique(uses, path, what, value)
}

func (f *Faults) checkDatabases(databases []Database) {
	names := firstUses{}
	ids := firstUses{}
	addresses := firstUses{}
	for i, d := range databases {
		path := indexPath("databases", i)
		f.checkName(names, fieldPath(path, "name"), "database name", d.Name)
		f.checkGroupSize(fieldPath(path, "servers"), d.Servers)
		for j, s := range d.Servers {
			f.checkServer(indexPath(fieldPath(path, "servers"), j), s, ids, addresses)
		}
	}
}

func (f *Faults) checkGroupSize(path string, servers []Server) {
	n := len(servers)
	if n < MinServers || n%2 == 0 {
		f.add(path, fmt.Sprintf("group has %d server(s)", n), "list an odd number of servers, at least 3, so that a majority survives a failure")
		return
	}
	for _, s := range servers {
		if !s.Leaving {
			return
		}
	}
	f.add(path, "all servers are leaving", "keep at least one server that receives statements")
}

func (f *Faults) checkServer(path string, s Server, ids, addresses firstUses) {
	f.checkName(ids, fieldPath(path, "id"), "server id", s.ID)
	f.checkAddress(addresses, fieldPath(path, "address"), s.Address)
	f.checkLabel(fieldPath(path, "region"), "region", s.Region)
	f.checkLabel(fieldPath(path, "failureDomain"), "failure domain", s.FailureDomain)
	f.checkRange(fieldPath(path, "maxConnections"), float64(s.MaxConnections), 1, MaxConnections)
	f.checkRange(fieldPath(path, "slots"), float64(s.Slots), 1, MaxConnections)
	if s.MaxConnections >= 1 && s.Slots > s.MaxConnections {
		f.add(fieldPath(path, "slots"), fmt.Sprintf("%d slots exceed %d connections", s.Slots, s.MaxConnections),
			"write at most as many slots as connections")
	}
}

func (f *Faults) checkAddress(uses firstUses, path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		f.add(path, fmt.Sprintf("address %q is not an IP number and port", address), "write it as 10.0.0.7:5432; names are not resolved")
		return
	}
	f.checkUnique(uses, path, "address", parsed.String())
}

func (f *Faults) checkLabel(path, what, value string) {
	if !namePattern.MatchString(value) {
		f.add(path, fmt.Sprintf("%s %q is not valid", what, value), "write the name that the platform uses")
	}
}

// checkRange also rejects NaN, since every comparison with it is false.
func (f *Faults) checkRange(path string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	f.add(path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a value from %v to %v", low, high))
}

func (f *Faults) checkAccounts(accounts []Account) {
	names := firstUses{}
	hashes := firstUses{}
	for i, a := range accounts {
		path := indexPath("accounts", i)
		f.checkName(names, fieldPath(path, "name"), "account name", a.Name)
		f.checkRange(fieldPath(path, "weight"), float64(a.Weight), 1, MaxWeight)
		f.checkRate(fieldPath(path, "rate"), a.Rate)
		f.checkRange(fieldPath(path, "burst"), a.Burst, 1, MaxRate)
		f.checkKeys(fieldPath(path, "keys"), a.Keys, hashes)
	}
}

func (f *Faults) checkRate(path string, rate float64) {
	if rate > 0 && rate <= MaxRate {
		return
	}
	f.add(path, fmt.Sprintf("%v statements per second is out of range", rate), fmt.Sprintf("write a rate above 0 and up to %v", MaxRate))
}

func (f *Faults) checkKeys(path string, keys []Key, hashes firstUses) {
	ids := firstUses{}
	for i, k := range keys {
		at := indexPath(path, i)
		f.checkName(ids, fieldPath(at, "id"), "key id", k.ID)
		if !isKeyHash(k.SHA256) {
			f.add(fieldPath(at, "sha256"), "key hash is not 64 lower-case hex digits", `write the hash that "cyclamenctl keys new" printed, never the key`)
			continue
		}
		f.checkUnique(hashes, fieldPath(at, "sha256"), "key hash", k.SHA256)
	}
}

func isKeyHash(s string) bool {
	sum, err := hex.DecodeString(s)
	return err == nil && len(sum) == sha256.Size && hex.EncodeToString(sum) == s
}

func (f *Faults) checkRoutes(m Manifest) {
	databases := map[string]bool{}
	for _, d := range m.Databases {
		databases[d.Name] = true
	}
	accounts := map[string]bool{}
	for _, a := range m.Accounts {
		accounts[a.Name] = true
	}
	names := firstUses{}
	for i, r := range m.Routes {
		path := indexPath("routes", i)
		f.checkName(names, fieldPath(path, "name"), "route name", r.Name)
		if !databases[r.Database] {
			f.add(fieldPath(path, "database"), "database "+strconv.Quote(r.Database)+" is not defined", "add it to databases or correct the name")
		}
		f.checkRouteAccounts(path, r, accounts)
		f.checkRouteModes(path, r)
		f.checkRouteTimes(path, r)
	}
}

func (f *Faults) checkRouteAccounts(path string, r Route, accounts map[string]bool) {
	at := fieldPath(path, "accounts")
	if r.Open && len(r.Accounts) > 0 {
		f.add(at, "route is open to all and also lists accounts", "remove open or the accounts")
	}
	if !r.Open && len(r.Accounts) == 0 {
		f.add(at, "no account may use the route", "list accounts, set open, or remove the route")
	}
	names := firstUses{}
	for i, name := range r.Accounts {
		f.checkUnique(names, indexPath(at, i), "account", name)
		if !accounts[name] {
			f.add(indexPath(at, i), "account "+strconv.Quote(name)+" is not defined", "add it to accounts or correct the name")
		}
	}
}

func (f *Faults) checkRouteModes(path string, r Route) {
	switch r.Acknowledge {
	case "", AcknowledgeMajority, AcknowledgePrimary:
	default:
		f.add(fieldPath(path, "acknowledge"), fmt.Sprintf("mode %q is unknown", r.Acknowledge), "write majority or primary")
	}
	switch r.SessionScope {
	case "", ScopeAny, ScopeConnection:
	default:
		f.add(fieldPath(path, "sessionScope"), fmt.Sprintf("scope %q is unknown", r.SessionScope), "write any or connection")
	}
}

func (f *Faults) checkRouteTimes(path string, r Route) {
	f.checkDurationRange(fieldPath(path, "maxStaleness"), r.MaxStaleness, MaxStalenessTime)
	f.checkDurationRange(fieldPath(path, "readWait"), r.ReadWait, MaxReadWait)
	f.checkDurationRange(fieldPath(path, "statementTimeout"), r.StatementTimeout, MaxStatementTimeout)
	f.checkDurationRange(fieldPath(path, "confirmTimeout"), r.ConfirmTimeout, MaxConfirmTimeout)
	f.checkDurationRange(fieldPath(path, "queueTimeout"), r.QueueTimeout, MaxQueueTimeout)
}

// checkDurationRange accepts 0, which selects the default.
func (f *Faults) checkDurationRange(path string, d Duration, high time.Duration) {
	if d == 0 || (d.Std() >= MinDuration && d.Std() <= high) {
		return
	}
	f.add(path, fmt.Sprintf("%s is out of range", d.Std()), fmt.Sprintf("write a span from %s to %s and check its unit", MinDuration, high))
}
