package platformlocal

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/platform"
)

// oddEntries are entries of another writer that name no server to use.
func oddEntries() map[string]string {
	entry := func(change, to string) string {
		valid := `{"service":"db0","address":"127.0.0.1:9","zone":"north","slots":3,"state":"ready","cold_left_ms":0,"db_role":"primary","sequence":4,"born":1}`
		return strings.Replace(valid, change, to, 1)
	}
	const depth = 200_000 // bytes
	return map[string]string{
		"deep-lists":               strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"deep-field":               entry(`"born"`, `"more":`+strings.Repeat("[", depth)+strings.Repeat("]", depth)+`,"born"`),
		"large-number":             entry(`"slots":3`, `"slots":1e999`),
		"large-slots":              entry(`"slots":3`, `"slots":9223372036854775807`),
		"large-time":               entry(`"cold_left_ms":0`, `"cold_left_ms":1e300`),
		"no-number":                entry(`"slots":3`, `"slots":NaN`),
		"port":                     entry(`127.0.0.1:9`, `127.0.0.1:99999`),
		"port-zero":                entry(`127.0.0.1:9`, `127.0.0.1:0`),
		"bytes":                    "{\"service\":\"\xff\x00\"}",
		"other-service":            entry("db0", "none"),
		"name with\r\nline breaks": entry(`"service"`, `"service"`),
	}
}

// Guards against processes that end, or stop following the list of servers, because of one odd entry of another writer: in the list
// that they read at their start, and among the changes that they follow.
func TestOddEntryLeavesTheOtherServersInUse(t *testing.T) {
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d := startWith(t, Config{
		Binary: binary, Dir: t.TempDir(), Instances: 2,
		Databases: Databases{Count: 1, Slots: 4, ServiceTime: time.Millisecond, MaxConnections: 40},
		Accounts:  []Account{{Name: "a", Key: "k", Rate: 1e5, Burst: 1e5}},
	})
	strict := d.DatabaseNames()[0] + StrictRouteSuffix
	primary := d.Servers(d.DatabaseNames()[0])[0].ID
	check := func(when string) {
		t.Helper()
		for n, i := range d.Instances {
			await(t, promotionLimit, when+" served by "+i.Name, func() bool { return isServed(i.CallerAddress, strict, "k", fmt.Sprintf("%s-%d", when, n)) })
		}
	}
	failOver := func(when string) {
		t.Helper()
		d.CrashPrimary(d.DatabaseNames()[0])
		await(t, promotionLimit, when+" led by another server", func() bool { return d.Group(d.DatabaseNames()[0]).Primary() != primary })
		primary = d.Group(d.DatabaseNames()[0]).Primary()
		check(when)
		if err := d.Recover(d.DatabaseNames()[0]); err != nil {
			t.Fatal(err)
		}
	}
	check("before")
	for name, spec := range oddEntries() {
		if err := d.Platform.PutRaw(platform.ServersKind, name, []byte(spec)); err != nil {
			t.Fatal(err)
		}
	}
	failOver("watched")
	for _, i := range d.Instances {
		select {
		case <-i.lastRun().ended():
			t.Fatalf("%s has ended; its log ends with:\n%s", i.Name, i.logTail())
		default:
		}
		i.Stop(syscall.SIGKILL)
		if err := i.Start(); err != nil {
			t.Fatal(err)
		}
		if err := i.awaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	failOver("started")
}
