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
	// scrapeDeadline is generous: metrics reach the endpoint once a second.
	scrapeDeadline = 30 * time.Second
	scrapePause    = 100 * time.Millisecond
)

var (
	metricRow  = regexp.MustCompile("^`([a-z_]+)`$")
	sampleLine = regexp.MustCompile(`^(\w+?)(_bucket|_sum|_count)?(?:\{(.*)\})? \S+$`)
	labelName  = regexp.MustCompile(`(\w+)="(?:[^"\\]|\\.)*"`)
)

// metricTypes maps the methods of tally's scope to the types that the page names.
var metricTypes = map[string]string{"Counter": "counter", "Gauge": "gauge", "Histogram": "histogram"}

// createdMetrics returns the types of the metrics that the source creates, by name.
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
				t.Errorf("%s: the name of a %s is not a literal, so that the catalogue can't be checked", file.path, method.Sel.Name)
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

// Guards against metrics that an operator can't look up, and against a page that lists metrics of
// another release.
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

// metric is what an endpoint shows of a metric.
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

// Guards against a page with other types or tags than an instance shows.
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
	// The deployment's start has run a statement.
	found := scrape(t, d.Instances[0].OpsAddress)
	for deadline := time.Now().Add(scrapeDeadline); found["statements_total"].kind == ""; found = scrape(t, d.Instances[0].OpsAddress) {
		if time.Now().After(deadline) {
			t.Fatalf("no statement in the metrics: %v", found)
		}
		time.Sleep(scrapePause)
	}
	listed := tableRows(t, "metrics.md", metricRow, 4)
	for name, m := range found {
		row := listed[name]
		if row == nil {
			t.Errorf("%s is shown by an instance, but not on the page", name)
			continue
		}
		if row[0] != m.kind || !slices.Equal(sortedFields(row[1]), m.tags) {
			t.Errorf("%s is a %s with tags %v, but listed as a %s with tags %s", name, m.kind, m.tags, row[0], row[1])
		}
	}
}
