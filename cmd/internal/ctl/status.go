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

	"github.com/cyclamenstile/cyclamenstile/platform"
	"github.com/cyclamenstile/cyclamenstile/platform/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/directory"
)

type statusResult struct {
	StoredVersion uint64           `json:"storedVersion"` // 0 if no manifest is stored
	Instances     []instanceStatus `json:"instances"`
}

// instanceStatus is what an instance last reported.
type instanceStatus struct {
	directory.Status
	Current bool   `json:"current"` // has the stored version in force
	Listed  bool   `json:"listed"`  // is in the platform's list, which lags
	Fault   string `json:"fault,omitempty"`
}

func (r statusResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "stored version %d\n", r.StoredVersion)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tVERSION\tCURRENT\tLISTED\tKEYED WORK\tREPORTED\tHEALTH")
	for _, i := range r.Instances {
		fmt.Fprintf(table, "%s\t%d\t%t\t%t\t%t\t%s\t%s\n",
			i.Instance, i.Version, i.Current, i.Listed, i.KeyedAllowed, i.ReportedAt.Format(time.RFC3339), i.healthText())
	}
	_ = table.Flush()
}

func (i instanceStatus) healthText() string {
	if i.Fault != "" {
		return i.Fault
	}
	// fmt prints maps in the order of their keys.
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(i.Health), "map["), "]")
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which instance has which version in force, as last reported",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, s session) error {
				result, err := s.status(ctx)
				if err != nil {
					return err
				}
				return o.print(cmd.OutOrStdout(), result)
			})
		},
	}
}

func (s session) status(ctx context.Context) (statusResult, error) {
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
	return result, nil
}

// listedInstances returns the ids in the platform's list; a missing list is empty.
func (s session) listedInstances(ctx context.Context) (map[string]bool, error) {
	list, err := httpstore.InstanceList{Store: s.store}.Instances(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
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
