package ctl

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

const exampleFile = "../../../docs/examples/manifest.yaml"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cyclamenctl": func() { os.Exit(Main(NewRoot())) },
	})
}

type storeKey struct{}

// Guards against changes of the output, the exit codes and the environment variables that operators'
// scripts rely on, and against changes that overwrite each other or get lost. Each script has its own
// store and the example manifest as example.yaml.
func TestScripts(t *testing.T) {
	example, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			server, err := store.Start("127.0.0.1:0")
			if err != nil {
				return err
			}
			env.Defer(func() { _ = server.Close() })
			env.Values[storeKey{}] = server
			env.Setenv("CYCLAMENSTILE_STORE", server.URL())
			return os.WriteFile(filepath.Join(env.WorkDir, "example.yaml"), example, 0o600)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":   exits,
			"store":   controlStore,
			"version": deriveManifest,
			"raise":   setVersion,
			"keyhash": keyHash,

			"instance": serveBurnReport,
			"xml":      checkXML,
		},
	})
}

// exits implements the script command "exits CODE COMMAND...": it runs a command and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	var code int
	err := ts.Exec(args[1], args[2:]...)
	if exit, ok := err.(interface{ ExitCode() int }); ok {
		code = exit.ExitCode()
	}
	if want := args[0]; strconv.Itoa(code) != want {
		ts.Fatalf("exit code %d, want %s", code, want)
	}
}

// controlStore implements the script command "store": "lose N" loses the responses to the next N puts, "refuse"
// makes the store unavailable, and "put KEY FILE" stores an object.
func controlStore(ts *testscript.TestScript, _ bool, args []string) {
	server := ts.Value(storeKey{}).(*store.Server)
	switch args[0] {
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		server.DropPutResponses(n)
	case "refuse":
		ts.Check(server.RefuseConnections())
	case "put":
		client, err := httpstore.New(httpstore.Config{BaseURL: server.URL()})
		ts.Check(err)
		_, err = client.Put(context.Background(), args[1], []byte(ts.ReadFile(args[2])), 0)
		ts.Check(err)
	default:
		ts.Fatalf("unknown store operation %s", args[0])
	}
}

// deriveManifest implements the script command "version VERSION RATE FILE": it writes the example with
// this version and this rate of its first account.
func deriveManifest(ts *testscript.TestScript, _ bool, args []string) {
	m, err := manifest.Parse([]byte(ts.ReadFile("example.yaml")))
	ts.Check(err)
	m.Version, err = strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	m.Accounts[0].Rate, err = strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	doc, err := m.Encode()
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), doc, 0o600))
}

// setVersion implements the script command "raise FILE VERSION": it edits the version in a YAML file.
func setVersion(ts *testscript.TestScript, _ bool, args []string) {
	edited := regexp.MustCompile(`(?m)^version: .*$`).ReplaceAllString(ts.ReadFile(args[0]), "version: "+args[1])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(edited), 0o600))
}

// keyHash implements the script command "keyhash FILE": it checks that the entry in the JSON output of
// "keys new" has the hash of the key.
func keyHash(ts *testscript.TestScript, _ bool, args []string) {
	var r newKeyResult
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &r))
	if manifest.HashKey(r.Key).String() != r.Entry.SHA256 || len(r.Key) < 43 {
		ts.Fatalf("entry %+v does not belong to the printed key", r.Entry)
	}
}

// Guards against concurrent changes that both report success, though only one is in force.
func TestRaceHasOneWinner(t *testing.T) {
	server, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client, err := httpstore.New(httpstore.Config{BaseURL: server.URL()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	doc, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	const operators = 8
	server.DropPutResponses(operators / 2)
	results := make(chan error, operators)
	for i := range operators {
		next, err := manifest.Parse(doc)
		if err != nil {
			t.Fatal(err)
		}
		next.Accounts[0].Rate = float64(i + 1)
		go func() {
			_, err := configStore{store: client}.replace(t.Context(), storedManifest{}, next)
			results <- err
		}()
	}
	succeeded := 0
	for range operators {
		err := <-results
		if code, _ := classify(err); err == nil {
			succeeded++
		} else if code != exitConflict {
			t.Errorf("rejected change got %v, want a conflict", err)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d changes succeeded, want 1", succeeded)
	}
}

// Guards against commands of other packages that ignore the environment variables and the exit codes.
func TestExtraCommands(t *testing.T) {
	t.Setenv("CYCLAMENSTILE_LISTEN_ON", "127.0.0.1:1")
	var got string
	extra := &cobra.Command{Use: "extra", RunE: func(*cobra.Command, []string) error { return nil }}
	extra.Flags().StringVar(&got, "listen-on", "", "address")
	code := Execute(t.Context(), NewRoot(extra), []string{"extra"}, os.Stdout, os.Stderr)
	if code != exitOK || got != "127.0.0.1:1" {
		t.Errorf("exit code %d, flag %q, want 0 and the value of the environment variable", code, got)
	}
}
