package dbgroup

import (
	"reflect"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/position"
)

// Guards against accepting a damaged state row. Calls to a server are tested in standin/database.
func TestParseState(t *testing.T) {
	good := []string{"s1", "2", "replica", "3", "4", "x", "5", `[{"term":1,"start":0},{"term":3,"start":4}]`, "1500"}
	want := authority.ServerState{
		Server: "s1", Incarnation: 2, Role: authority.RoleReplica, Term: 3, FenceTerm: 4, FenceOwner: "x", LSN: 5,
		History:           position.History{{Term: 1}, {Term: 3, Start: 4}},
		PrimaryContactAge: 1500 * time.Microsecond,
	}
	got, err := ParseState(row(good))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed %+v, want %+v, error %v", got, want, err)
	}
	for column, damaged := range map[int]string{1: "", 3: "-1", 6: "x", 7: "[", 8: "1.5"} {
		bad := append([]string(nil), good...)
		bad[column] = damaged
		if _, err := ParseState(row(bad)); err == nil {
			t.Errorf("column %s accepts %q, want an error", StateColumns[column], damaged)
		}
	}
	if _, err := ParseState(row(good[:8])); err == nil {
		t.Error("a row with a missing column is accepted, want an error")
	}
	later := []string{"s1", "2", "primary", "7", "7", "y", "6", `[{"term":1,"start":0},{"term":7,"start":4}]`, "0"}
	var p stateParser
	for _, values := range [][]string{good, good, later, {"s1", "2", "primary", "7", "7", "y", "6", "[", "0"}, later, good} {
		want, wantErr := ParseState(row(values))
		got, err := p.parse(row(values))
		if (err == nil) != (wantErr == nil) || (err == nil && !reflect.DeepEqual(got, want)) {
			t.Errorf("parsed %+v after other rows, want %+v, error %v", got, want, err)
		}
	}
}

// Guards against connecting to another address than the manifest configures.
func TestClientAddress(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"} {
		if _, err := NewClient(Config{Address: address}); err == nil {
			t.Errorf("address %q is accepted, want an error", address)
		}
	}
	c, err := NewClient(Config{Address: "127.0.0.1:5432", User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if c.connConfig.Host != "127.0.0.1" || c.connConfig.Port != 5432 || c.connConfig.User != "u" || c.connConfig.Password != "p" || len(c.connConfig.Fallbacks) > 0 {
		t.Errorf("connection settings %+v, want those of Config and no fallbacks", c.connConfig)
	}
}

func row(values []string) [][]byte {
	raw := make([][]byte, len(values))
	for i, v := range values {
		raw[i] = []byte(v)
	}
	return raw
}
