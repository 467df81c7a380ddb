package daemon

import (
	"fmt"
	"testing"
)

// Guards against a status object that grows with the number of unhealthy databases.
func TestHealthIsBounded(t *testing.T) {
	health := map[string]string{}
	for i := range 100 {
		health[fmt.Sprintf("database %03d", i)] = "has no primary"
	}
	got := firstOf(health)
	if len(got) != maxReportedDatabases+1 || got["database 000"] == "" || got["databases"] != "80 more have problems" {
		t.Errorf("reported health is %v", got)
	}
}
