package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// testManifest returns a valid manifest with one group, two accounts with a key each and two routes.
func testManifest(version uint64) Manifest {
	m := Manifest{
		APIVersion: APIVersion,
		Version:    version,
		Databases:  []Database{{Name: "orders"}},
		Routes: []Route{
			{Name: "orders", Database: "orders", Accounts: []string{"a", "b"}},
			{Name: "public", Database: "orders", Open: true},
		},
	}
	for i := range MinServers {
		m.Databases[0].Servers = append(m.Databases[0].Servers, Server{
			ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:5432", i+1),
			Region: "sask", FailureDomain: "sask-a", MaxConnections: 20, Slots: 3,
		})
	}
	for _, name := range []string{"a", "b"} {
		key := Key{ID: name + "-1", SHA256: HashKey("key of " + name).String()}
		m.Accounts = append(m.Accounts, Account{Name: name, Weight: 1, Rate: 10, Burst: 20, Keys: []Key{key}})
	}
	return m
}

func mustSnapshot(t interface {
	Helper()
	Fatal(args ...any)
}, m Manifest) *Snapshot {
	t.Helper()
	s, err := NewSnapshot(m)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against faulty manifests that pass validation, and against faults reported at the wrong path.
func TestValidateFindsFault(t *testing.T) {
	server := func(m *Manifest) *Server { return &m.Databases[0].Servers[1] }
	account := func(m *Manifest) *Account { return &m.Accounts[1] }
	route := func(m *Manifest) *Route { return &m.Routes[0] }
	cases := []struct {
		name, path string
		corrupt    func(m *Manifest)
	}{
		{"format", "apiVersion", func(m *Manifest) { m.APIVersion = "v0" }},
		{"version 0", "version", func(m *Manifest) { m.Version = 0 }},
		{"database without name", "databases[0].name", func(m *Manifest) { m.Databases[0].Name = "" }},
		{"repeated database", "databases[1].name", func(m *Manifest) {
			m.Databases = append(m.Databases, Database{Name: "orders", Servers: testManifest(1).Databases[0].Servers})
		}},
		{"two servers", "databases[0].servers", func(m *Manifest) { m.Databases[0].Servers = m.Databases[0].Servers[:2] }},
		{"four servers", "databases[0].servers", func(m *Manifest) {
			extra := *server(m)
			extra.ID, extra.Address = "s9", "10.0.0.9:5432"
			m.Databases[0].Servers = append(m.Databases[0].Servers, extra)
		}},
		{"all leaving", "databases[0].servers", func(m *Manifest) {
			for i := range m.Databases[0].Servers {
				m.Databases[0].Servers[i].Leaving = true
			}
		}},
		{"repeated server", "databases[0].servers[1].id", func(m *Manifest) { server(m).ID = "s0" }},
		{"host name", "databases[0].servers[1].address", func(m *Manifest) { server(m).Address = "db.example:5432" }},
		{"address without port", "databases[0].servers[1].address", func(m *Manifest) { server(m).Address = "10.0.0.2" }},
		{"port 0", "databases[0].servers[1].address", func(m *Manifest) { server(m).Address = "10.0.0.2:0" }},
		{"unspecified address", "databases[0].servers[1].address", func(m *Manifest) { server(m).Address = "0.0.0.0:5432" }},
		{"repeated address", "databases[0].servers[1].address", func(m *Manifest) { server(m).Address = "10.0.0.1:5432" }},
		{"no region", "databases[0].servers[1].region", func(m *Manifest) { server(m).Region = "" }},
		{"no failure domain", "databases[0].servers[1].failureDomain", func(m *Manifest) { server(m).FailureDomain = "" }},
		{"no connections", "databases[0].servers[1].maxConnections", func(m *Manifest) { server(m).MaxConnections = 0 }},
		{"negative slots", "databases[0].servers[1].slots", func(m *Manifest) { server(m).Slots = -1 }},
		{"more slots than connections", "databases[0].servers[1].slots", func(m *Manifest) { server(m).Slots = 21 }},
		{"repeated account", "accounts[1].name", func(m *Manifest) { account(m).Name = "a"; route(m).Accounts = []string{"a"} }},
		{"weight 0", "accounts[1].weight", func(m *Manifest) { account(m).Weight = 0 }},
		{"rate 0", "accounts[1].rate", func(m *Manifest) { account(m).Rate = 0 }},
		{"rate is not a number", "accounts[1].rate", func(m *Manifest) { account(m).Rate = math.NaN() }},
		{"burst below one", "accounts[1].burst", func(m *Manifest) { account(m).Burst = 0.5 }},
		{"key without id", "accounts[1].keys[0].id", func(m *Manifest) { account(m).Keys[0].ID = "" }},
		{"short hash", "accounts[1].keys[0].sha256", func(m *Manifest) { account(m).Keys[0].SHA256 = "abcd" }},
		{"upper-case hash", "accounts[1].keys[0].sha256", func(m *Manifest) {
			account(m).Keys[0].SHA256 = strings.ToUpper(account(m).Keys[0].SHA256)
		}},
		{"key of another account", "accounts[1].keys[0].sha256", func(m *Manifest) { account(m).Keys[0].SHA256 = m.Accounts[0].Keys[0].SHA256 }},
		{"repeated route", "routes[1].name", func(m *Manifest) { m.Routes[1].Name = "orders" }},
		{"unknown database", "routes[0].database", func(m *Manifest) { route(m).Database = "sheets" }},
		{"unknown account", "routes[0].accounts[1]", func(m *Manifest) { route(m).Accounts[1] = "c" }},
		{"repeated account of a route", "routes[0].accounts[1]", func(m *Manifest) { route(m).Accounts[1] = "a" }},
		{"open with accounts", "routes[0].accounts", func(m *Manifest) { route(m).Open = true }},
		{"no account may use it", "routes[0].accounts", func(m *Manifest) { route(m).Accounts = nil }},
		{"acknowledge", "routes[0].acknowledge", func(m *Manifest) { route(m).Acknowledge = "all" }},
		{"session scope", "routes[0].sessionScope", func(m *Manifest) { route(m).SessionScope = "user" }},
		{"negative duration", "routes[0].readWait", func(m *Manifest) { route(m).ReadWait = -5 }},
		{"duration in nanoseconds", "routes[0].queueTimeout", func(m *Manifest) { route(m).QueueTimeout = 500 }},
		{"duration too long", "routes[0].confirmTimeout", func(m *Manifest) { route(m).ConfirmTimeout = Duration(MaxConfirmTimeout + 1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testManifest(1)
			c.corrupt(&m)
			for _, f := range m.Validate() {
				if f.Path == c.path && f.Problem != "" && f.Remedy != "" {
					return
				}
			}
			t.Errorf("faults = %v, want one at path %s", m.Validate(), c.path)
		})
	}
	if faults := testManifest(1).Validate(); len(faults) != 0 {
		t.Errorf("valid manifest has faults %v", faults)
	}
}

// Guards against validation that stops at the first fault.
func TestValidateReportsAllFaults(t *testing.T) {
	m := testManifest(0)
	m.Databases[0].Servers[0].Slots = 0
	m.Accounts[0].Rate = -1
	m.Routes[0].Database = "none"
	if faults := m.Validate(); len(faults) != 4 {
		t.Errorf("faults = %v, want 4", faults)
	}
}

// Guards against silently ignored settings with a misspelt name or a value of the wrong type.
func TestDecodeIsStrict(t *testing.T) {
	doc := `
apiVersion: cyclamenstile/v1
version: -1
databases:
  - nmae: orders
    servers: {}
accounts:
  - Name: a
    rate: fast
routes:
  - name: 7
    readWait: 50
    queueTimeout: "10"
    open: "yes"
`
	_, err := Decode([]byte(doc))
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("Decode = %v, want Faults", err)
	}
	want := []string{
		"accounts[0].Name", "accounts[0].rate", "databases[0].nmae", "databases[0].servers",
		"routes[0].name", "routes[0].open", "routes[0].queueTimeout", "routes[0].readWait", "version",
	}
	for i, f := range faults {
		if i >= len(want) || f.Path != want[i] {
			t.Errorf("fault %d is %v, want paths %v", i, f, want)
		}
	}
	if len(faults) != len(want) {
		t.Errorf("%d faults, want %d", len(faults), len(want))
	}
	for _, doc := range []string{"version: 1\nversion: 2\n", "version: 1\n---\nversion: 2\n", "[]", "version: [", "1", `{"version":1,"version":2}`, `{"databases":[{"name":"a","servers":[],"name":"b"}]}`, "\x1f\x8bdamaged"} {
		if _, err := Decode([]byte(doc)); !errors.As(err, &faults) {
			t.Errorf("Decode(%q) = %v, want Faults", doc, err)
		}
	}
}

// Guards against documents that change when they are stored and read back.
func TestEncodeRoundTrip(t *testing.T) {
	m := testManifest(3)
	m.Routes[0].ReadWait = Duration(DefaultReadWait)
	doc, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(append([]byte("# comment\n---\n"), doc...))
	if err != nil || again.Digest() != m.Digest() {
		t.Errorf("Parse = %+v, %v, want %+v", again, err, m)
	}
	if again.Digest() != testManifest(3).Digest() {
		t.Error("an explicit default value changes the digest")
	}
	var generic map[string]any
	if err := json.Unmarshal(doc, &generic); err != nil {
		t.Errorf("stored document is not JSON: %v", err)
	}
}

// Guards against a manifest of the size expected in two years that the store rejects or that instances
// can't read.
func TestPackFitsStoreLimit(t *testing.T) {
	const databases, storeLimit = 3100, 1 << 20
	m := testManifest(1)
	for i := range databases {
		d := Database{Name: fmt.Sprintf("database-%04d", i)}
		for j := range MinServers {
			s := m.Databases[0].Servers[j]
			s.ID = fmt.Sprintf("%s-%d", d.Name, j)
			s.Address = fmt.Sprintf("10.%d.%d.%d:5432", j+1, i/250, i%250+1)
			d.Servers = append(d.Servers, s)
		}
		m.Databases = append(m.Databases, d)
		m.Routes = append(m.Routes, Route{Name: d.Name, Database: d.Name, Accounts: []string{"a", "b"}})
	}
	packed, err := m.Pack()
	if err != nil || len(packed) > storeLimit {
		t.Fatalf("Pack = %d bytes, %v, want up to %d", len(packed), err, storeLimit)
	}
	again, err := Parse(packed)
	if err != nil || again.Digest() != m.Digest() {
		t.Errorf("manifest differs after Pack and Parse: %v", err)
	}
}

// Guards against a diff that misses a change or reports reordering as a change.
func TestDiff(t *testing.T) {
	from, to := testManifest(1), testManifest(2)
	to.Databases[0].Servers[2].Leaving = true
	to.Accounts = append(to.Accounts[:1], Account{Name: "c", Weight: 1, Rate: 5, Burst: 7, Keys: []Key{{ID: "c-1", SHA256: "00"}}})
	to.Accounts[0].Keys = append(to.Accounts[0].Keys, Key{ID: "a-2", SHA256: HashKey("x").String()})
	to.Routes[0].Accounts = []string{"a"}
	to.Routes[0].ReadWait = Duration(2 * DefaultReadWait)
	to.Routes = append(to.Routes, Route{Name: "z", Database: "orders", Accounts: []string{"a", "c"}, MaxStaleness: Duration(DefaultQueueTimeout)})
	to.Routes[0], to.Routes[1] = to.Routes[1], to.Routes[0]
	want := []string{
		"changed version: 1 -> 2",
		"changed databases[orders].servers[s2].leaving: false -> true",
		"added accounts[a].keys[a-2]: sha256=" + HashKey("x").String(),
		"removed accounts[b]",
		"added accounts[c]: weight=1 rate=5 burst=7",
		"added accounts[c].keys[c-1]: sha256=00",
		"removed routes[orders].accounts[b]",
		"changed routes[orders].readWait: 50ms -> 100ms",
		"added routes[z]: database=orders accounts=[a c] maxStaleness=2s acknowledge=majority sessionScope=any" +
			" readWait=50ms statementTimeout=30s confirmTimeout=5s queueTimeout=2s",
	}
	got := Diff(from, to)
	for i, c := range got {
		if i >= len(want) || c.String() != want[i] {
			t.Errorf("change %d = %s, want %v", i, c, want)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d changes, want %d", len(got), len(want))
	}
}

// Guards against a key that is accepted for another account or for a route that does not list its account,
// and against a valid key that is refused.
func TestAuthorize(t *testing.T) {
	m := testManifest(1)
	m.Routes = append(m.Routes, Route{Name: "only-a", Database: "orders", Accounts: []string{"a"}})
	s := mustSnapshot(t, m)
	cases := []struct {
		route, account, key string
		want                Refusal
	}{
		{"orders", "a", "key of a", Granted},
		{"orders", "a", "key of b", WrongKey},
		{"orders", "c", "key of a", WrongKey},
		{"orders", "", "", WrongKey},
		{"only-a", "b", "key of b", NotOnRoute},
		{"only-a", "b", "key of a", WrongKey},
		{"none", "a", "key of a", UnknownRoute},
		{"public", "", "", Granted},
		{"public", "c", "wrong", Granted},
	}
	for _, c := range cases {
		grant, got := s.Authorize(c.route, c.account, HashKey(c.key))
		if got != c.want {
			t.Errorf("Authorize(%s, %s, %q) = %v, want %v", c.route, c.account, c.key, got, c.want)
		}
		if got == Granted && !s.StillGrants(grant) {
			t.Errorf("grant %+v is not valid in its own snapshot", grant)
		}
	}
}
