package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds holds the seeds that once failed, with the cause, and one that never did.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "never failed; checks the soak test itself"},
	{3, "never failed; the primary is cold"},
	{103, "a write of unknown outcome took effect late, over acknowledged ones; the check did not allow that, but the users' pages do"},
}

// Guards against statements that reach the servers of an evacuated failure domain while instances are killed and restarted,
// servers don't answer and the store discards its history.
func TestSoakEvacuation(t *testing.T) {
	result := runSeed(t, "never failed", Config{
		Binary: buildDaemon(t), Seed: 1, Duration: 16 * time.Second, Instances: 4, Databases: 2, Callers: 12, Evacuations: true,
	})
	if result.Evacuations == 0 {
		t.Error("no domain was evacuated")
	}
}

// Guards against violations of the guarantees by the real programs under external faults.
func TestSoak(t *testing.T) {
	binary := buildDaemon(t)
	for _, s := range seeds {
		result := runSeed(t, s.cause, Config{Binary: binary, Seed: s.seed, Duration: 8 * time.Second, Instances: 3, Databases: 1, Callers: 8})
		if result.Cold == 0 {
			t.Errorf("seed %d: cold servers received nothing, so that the check of their limit says nothing", s.seed)
		}
	}
}

// Guards against acknowledged writes of a former primary while instances and servers fail, where it goes on until it steps down.
func TestSoakUnfenced(t *testing.T) {
	runSeed(t, "never failed", Config{
		Binary: buildDaemon(t), Seed: 1, Duration: 20 * time.Second, Instances: 4, Databases: 2, Callers: 12, Unfenced: true,
	})
}

// Guards against acknowledged commits that a failover loses, where replicas acknowledge them and lag, are busy or are cut off.
func TestSoakCopies(t *testing.T) {
	binary := buildDaemon(t)
	for _, unfenced := range []bool{false, true} {
		runSeed(t, "never failed", Config{
			Binary: binary, Seed: 1, Duration: 12 * time.Second, Instances: 3, Databases: 2, Callers: 12, Copies: 1, Unfenced: unfenced,
		})
	}
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cyclamenstile")
	build := exec.Command("go", "build", "-o", binary, "github.com/cyclamenstile/cyclamenstile/cmd/cyclamenstile")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// runSeed runs the scenario of one seed and checks its result.
func runSeed(t *testing.T, cause string, cfg Config) Result {
	t.Helper()
	cfg.Dir, cfg.Log = t.TempDir(), t.Output()
	result, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatalf("seed %d: %v", cfg.Seed, err)
	}
	for _, v := range result.Violations {
		t.Errorf("seed %d (%s): %s", cfg.Seed, cause, v)
	}
	if result.Answers < 100 {
		t.Errorf("seed %d: only %d answers, want at least 100", cfg.Seed, result.Answers)
	}
	return result
}
