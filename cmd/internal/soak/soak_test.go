package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds that have failed once, with the cause, and one that has not.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "never failed; keeps the soak itself working"},
	{103, "a write in doubt took effect late, over acknowledged ones; the check did not allow that, which the users' pages do"},
}

// Guards against promises that the real programs break under faults from outside.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cyclamenstile")
	build := exec.Command("go", "build", "-o", binary, "github.com/cyclamenstile/cyclamenstile/cmd/cyclamenstile")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, s := range seeds {
		result, err := Run(t.Context(), Config{
			Binary: binary, Dir: t.TempDir(), Seed: s.seed, Duration: 8 * time.Second, Instances: 3, Databases: 1, Callers: 8, Log: t.Output(),
		})
		if err != nil {
			t.Fatalf("seed %d: %v", s.seed, err)
		}
		for _, v := range result.Violations {
			t.Errorf("seed %d (%s): %s", s.seed, s.cause, v)
		}
		if result.Answers < 100 {
			t.Errorf("seed %d: only %d answers", s.seed, result.Answers)
		}
	}
}
