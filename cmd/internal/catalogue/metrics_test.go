package catalogue

import (
	"bufio"
	"go/ast"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

const (
	metricPrefix = "cyclamenstile_"
	// scrapeDeadline is far above the second within which metrics reach the endpoint.
	scrapeDeadline = 30 * time.Second
	scrapePause    = 100 * time.Millisecond
)

var (
	metricRow  = regexp.MustCompile("^`([a-z_]+)`$")
	sampleLine = regexp.MustCompile(`^(\w+?)(_bucket|_sum|_count)?(?:\{(.*)\})? \S+$`)
	labelName  = regexp.MustCompile(`(\w+)="(?:[^"\\]|\\.)*"`)
)

// metricTypes maps the methods of tally's scope to the type names used in metrics.md.
var metricTypes = map[string]string{"Counter": "counter", "Gauge": "gauge", "Histogram": "histogram"}

// createdMetrics returns the types of the metrics created in files, by name.
func createdMetrics(t *testing.T, files []sourceFile) map[string]string {
	t.Helper()
	types := make(map[string]string)
	for _, file := range files {
		if !slices.ContainsFunc(file.Imports, func(i *ast.ImportSpec) bool { return literalText(i.Path) == "github.com/uber-go/tally/v4" }) {
			continue
		}
		ast.Inspect(file.File, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || metricTypes[method.Sel.Name] == "" {
				return true
			}
			name := literalText(call.Args[0])
			if name == "" {
				t.Errorf("%s: the name of a %s is not a literal; the catalogue can't be checked", file.path, method.Sel.Name)
				return true
			}
			if old := types[name]; old != "" && old != metricTypes[method.Sel.Name] {
				t.Errorf("%s is a %s and a %s", name, old, metricTypes[method.Sel.Name])
			}
			types[name] = metricTypes[method.Sel.Name]
			return true
		})
	}
	return types
}

// Guards against metrics missing in metrics.md, and against listed metrics that the code does not create
// or creates with another type.
func TestMetricsAreListed(t *testing.T) {
	types := createdMetrics(t, parseSources(t))
	listed := tableRows(t, "metrics.md", metricRow, 4)
	checkSameKeys(t, "metrics.md", listed, types)
	for name, row := range listed {
		if types[name] != "" && row[0] != types[name] {
			t.Errorf("%s is a %s, but listed as %s", name, types[name], row[0])
		}
		if row[2] == "" {
			t.Errorf("%s has no meaning", name)
		}
	}
}

// metric is the type and the tags of a metric as exposed by an endpoint.
type metric struct {
	kind string
	tags []string
}

// scrape reads the metrics of an instance.
func scrape(t *testing.T, ops string) map[string]metric {
	t.Helper()
	response, err := http.Get("http://" + ops + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	found := make(map[string]metric)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "# TYPE "+metricPrefix); ok {
			name, kind, _ := strings.Cut(name, " ")
			found[name] = metric{kind: kind}
			continue
		}
		sample := sampleLine.FindStringSubmatch(line)
		if sample == nil || strings.HasPrefix(line, "#") {
			continue
		}
		name := strings.TrimPrefix(sample[1], metricPrefix)
		m := found[name]
		m.tags = nil
		for _, label := range labelName.FindAllStringSubmatch(sample[3], -1) {
			if label[1] != "le" {
				m.tags = append(m.tags, label[1])
			}
		}
		slices.Sort(m.tags)
		found[name] = m
	}
	return found
}

// Guards against types or tags in metrics.md that differ from what an instance exposes.
func TestMetricsOfInstance(t *testing.T) {
	d, err := local.Start(t.Context(), local.Config{
		Instances: 1,
		Accounts:  []local.Account{{Name: "marshals", Weight: 1, Rate: 1e6, Burst: 1e6}},
		Routes:    []manifest.Route{{Name: "orders", Database: local.DatabaseName, Accounts: []string{"marshals"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	// Starting the deployment has run a statement.
	found := scrape(t, d.Instances[0].OpsAddress)
	for deadline := time.Now().Add(scrapeDeadline); found["statements_total"].kind == ""; found = scrape(t, d.Instances[0].OpsAddress) {
		if time.Now().After(deadline) {
			t.Fatalf("statements_total is missing in the metrics: %v", found)
		}
		time.Sleep(scrapePause)
	}
	listed := tableRows(t, "metrics.md", metricRow, 4)
	for name, m := range found {
		row := listed[name]
		if row == nil {
			t.Errorf("%s is exposed by an instance, but not listed", name)
			continue
		}
		if row[0] != m.kind || !slices.Equal(sortedFields(row[1]), m.tags) {
			t.Errorf("%s is a %s with tags %v, but listed as a %s with tags %s", name, m.kind, m.tags, row[0], row[1])
		}
	}
}
