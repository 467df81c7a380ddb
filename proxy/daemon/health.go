package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/proxy/group"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// maxReportedDatabases bounds the number of databases in a status object, which has a limit of 1 MB and is
// read by people.
const maxReportedDatabases = 20

// healthCheckPeriod is the interval between health checks. A change brings the status report forward.
const healthCheckPeriod = time.Second

// health returns the problems of this instance and of the databases as it sees them; the map is empty if
// there are none.
func (d *Daemon) health() map[string]string {
	health := d.groups.health()
	if d.stopping.Load() {
		health["instance"] = "drains"
	} else if err := d.ready(); err != nil {
		health["instance"] = "is not ready: " + err.Error()
	}
	return health
}

// health returns the problems of databases: no primary, no majority or servers that don't answer.
func (g *groups) health() map[string]string {
	health := make(map[string]string)
	for name, running := range g.current() {
		if problem := describeProblems(running.Health()); problem != "" {
			health["database "+name] = problem
		}
	}
	return truncateHealth(health)
}

// truncateHealth keeps the first maxReportedDatabases entries by name and adds the number of the others.
func truncateHealth(health map[string]string) map[string]string {
	excess := len(health) - maxReportedDatabases
	if excess <= 0 {
		return health
	}
	for _, name := range slices.Sorted(maps.Keys(health))[maxReportedDatabases:] {
		delete(health, name)
	}
	health["databases"] = fmt.Sprintf("%d more have problems", excess)
	return health
}

// reportHealth brings the status report forward when the health changes.
func (d *Daemon) reportHealth(ctx context.Context) {
	last := d.health()
	wait.Every(ctx, healthCheckPeriod, func() {
		if now := d.health(); !maps.Equal(last, now) {
			last = now
			d.directory.ReportSoon()
		}
	})
}

// current returns the running groups by database name.
func (g *groups) current() map[string]*group.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := make(map[string]*group.Group, len(g.byDatabase))
	for name, running := range g.byDatabase {
		current[name] = running.group
	}
	return current
}

// describeProblems returns the problems of a group, or an empty string if there are none.
func describeProblems(h group.Health) string {
	var problems []string
	if !h.Primary {
		problems = append(problems, "has no primary")
	}
	if !h.Majority {
		problems = append(problems, "has no majority")
	}
	if len(h.Unresponsive) > 0 {
		problems = append(problems, "gets no answer from "+joinServers(h.Unresponsive))
	}
	return strings.Join(problems, ", ")
}

func joinServers(ids []authority.ServerID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, " ")
}
