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

// maxReportedDatabases bounds the databases in a status object, whose value may have 1 MB at most and is
// read by people.
const maxReportedDatabases = 20

// healthCheckPeriod is the time between two looks at the health, of which a change is reported soon.
const healthCheckPeriod = time.Second

// health lists what is wrong with this instance or its view of the databases; nothing is listed while all
// is well.
func (d *Daemon) health() map[string]string {
	health := d.groups.health()
	if d.stopping.Load() {
		health["instance"] = "drains"
	} else if err := d.ready(); err != nil {
		health["instance"] = "is not ready: " + err.Error()
	}
	return health
}

// health lists the databases without a primary or a majority, or with silent servers.
func (g *groups) health() map[string]string {
	health := make(map[string]string)
	for name, view := range g.current() {
		if problem := describeProblems(view.Health()); problem != "" {
			health["database "+name] = problem
		}
	}
	return truncateHealth(health)
}

// truncateHealth leaves out what exceeds maxReportedDatabases and says so.
func truncateHealth(health map[string]string) map[string]string {
	more := len(health) - maxReportedDatabases
	if more <= 0 {
		return health
	}
	for _, name := range slices.Sorted(maps.Keys(health))[maxReportedDatabases:] {
		delete(health, name)
	}
	health["databases"] = fmt.Sprintf("%d more have problems", more)
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

// current returns the present groups by database.
func (g *groups) current() map[string]*group.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := make(map[string]*group.Group, len(g.byDatabase))
	for name, m := range g.byDatabase {
		views[name] = m.group
	}
	return views
}

// describeProblems describes a group that is not well.
func describeProblems(h group.Health) string {
	var problems []string
	if !h.Primary {
		problems = append(problems, "has no primary")
	}
	if !h.Majority {
		problems = append(problems, "has no majority")
	}
	if len(h.Silent) > 0 {
		problems = append(problems, "gets no answer from "+joinServers(h.Silent))
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
