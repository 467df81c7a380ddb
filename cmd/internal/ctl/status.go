package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
)

// staleReportAge is the age from which a status report counts as missing: three reporting periods.
const staleReportAge = 3 * directory.DefaultStatusInterval

type statusResult struct {
	StoredVersion uint64           `json:"storedVersion"` // 0 if no manifest is stored
	Instances     []instanceStatus `json:"instances"`
	// Problems counts the instances with each problem.
	Problems map[string]int `json:"problems"`
}

// instanceStatus is the last report of an instance and the problems found in it.
type instanceStatus struct {
	directory.Status
	Current bool   `json:"current"` // the stored version is in force
	Listed  bool   `json:"listed"`  // in the platform's instance list, which lags
	Fault   string `json:"fault,omitempty"`
	// Problems lists what an operator should check; empty if the instance is healthy.
	Problems []string `json:"problems"`
}

func (r statusResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "stored version %d\n", r.StoredVersion)
	r.writeProblems(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tVERSION\tCURRENT\tLISTED\tKEYED WORK\tREPORTED\tHEALTH")
	for _, i := range r.Instances {
		fmt.Fprintf(table, "%s\t%d\t%t\t%t\t%t\t%s\t%s\n",
			i.Instance, i.Version, i.Current, i.Listed, i.KeyedAllowed, i.reportedText(), i.healthText())
	}
	_ = table.Flush()
}

// writeProblems writes a summary, so that problems show without reading a long table.
func (r statusResult) writeProblems(w io.Writer) {
	healthy := 0
	for _, i := range r.Instances {
		if len(i.Problems) == 0 {
			healthy++
		}
	}
	fmt.Fprintf(w, "%d of %d instance(s) well\n", healthy, len(r.Instances))
	for _, p := range slices.Sorted(maps.Keys(r.Problems)) {
		fmt.Fprintf(w, "  %s: %d instance(s)\n", p, r.Problems[p])
	}
}

func (i instanceStatus) reportedText() string {
	if i.ReportedAt.IsZero() {
		return "never"
	}
	return i.ReportedAt.Format(time.RFC3339)
}

func (i instanceStatus) healthText() string {
	if len(i.Problems) == 0 {
		return "ok"
	}
	return strings.Join(i.Problems, "; ")
}

// findProblems sets Problems from the report as of now.
func (i *instanceStatus) findProblems(now time.Time) {
	i.Problems = []string{} // an empty list in JSON, not null
	add := func(found bool, problem string) {
		if found {
			i.Problems = append(i.Problems, problem)
		}
	}
	if i.Fault != "" {
		add(true, i.Fault)
		return
	}
	add(!i.Current, "stored version not in force")
	add(!i.KeyedAllowed, "refuses keyed work")
	add(!i.Listed, "not in the platform's list")
	add(now.Sub(i.ReportedAt) > staleReportAge, "no report for "+staleReportAge.String()+", see whether it runs")
	for _, part := range slices.Sorted(maps.Keys(i.Health)) {
		add(true, part+" "+i.Health[part])
	}
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which instance has which version in force and what is wrong, as last reported",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, s configStore) error {
				result, err := s.status(ctx)
				if err != nil {
					return err
				}
				return o.print(cmd.OutOrStdout(), result)
			})
		},
	}
}

func (s configStore) status(ctx context.Context) (statusResult, error) {
	base, err := s.load(ctx)
	if err != nil {
		return statusResult{}, err
	}
	objects, _, err := s.store.List(ctx, directory.StatusPrefix)
	if err != nil {
		return statusResult{}, errors.Wrap(err, "list the status of the instances")
	}
	listed, err := s.listedInstances(ctx)
	if err != nil {
		return statusResult{}, err
	}
	result := statusResult{StoredVersion: base.manifest.Version, Instances: []instanceStatus{}}
	for _, object := range objects {
		id := strings.TrimPrefix(object.Key, directory.StatusPrefix)
		status := readStatus(id, object.Value, result.StoredVersion)
		status.Listed = listed[id]
		delete(listed, id)
		result.Instances = append(result.Instances, status)
	}
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		result.Instances = append(result.Instances, instanceStatus{
			Status: directory.Status{Instance: id},
			Listed: true,
			Fault:  "no status reported yet",
		})
	}
	result.countProblems(time.Now())
	return result, nil
}

func (r *statusResult) countProblems(now time.Time) {
	r.Problems = map[string]int{}
	for k := range r.Instances {
		r.Instances[k].findProblems(now)
		for _, p := range r.Instances[k].Problems {
			r.Problems[p]++
		}
	}
}

// listedInstances returns the ids in the platform's instance list; a missing list counts as empty.
func (s configStore) listedInstances(ctx context.Context) (map[string]bool, error) {
	list, err := httpstore.InstanceList{Store: s.store}.Instances(ctx)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return nil, err
	}
	ids := make(map[string]bool, len(list))
	for _, instance := range list {
		ids[instance.ID] = true
	}
	return ids, nil
}

func readStatus(id string, value []byte, storedVersion uint64) instanceStatus {
	var s instanceStatus
	if err := json.Unmarshal(value, &s.Status); err != nil {
		s.Fault = "status is not readable; check the release of the instance"
	}
	s.Instance = id
	s.Current = s.Version == storedVersion && s.Fault == ""
	return s
}
