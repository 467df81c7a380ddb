package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/proxy/gateway"
	"github.com/cyclamenstile/cyclamenstile/proxy/node"
	"github.com/cyclamenstile/cyclamenstile/proxy/quota"
)

// errNoLines is returned if no log line has the request id.
var errNoLines = errors.New("no log line has this request id; see whether the logs cover its time, and the metric log_lines_left_out_total")

// maxLogLine is the largest log line read, in bytes; instances write shorter ones.
const maxLogLine = 1 << 20

// contextEvents are the events about an instance's own state: its configuration, its contact with the store, its
// readiness and its quota.
var contextEvents = []string{
	node.EventConfigAdopted, node.EventStoreUnavailable, node.EventStoreRecovered, node.EventReady, node.EventNotReady, quota.EventFractions,
}

// serverEvents are the events about the state of a server, or of a database's primary, as observed by an instance.
var serverEvents = []string{
	node.EventServerChanged, node.EventPrimaryLost, node.EventPrimarySuspected, node.EventPromoting, node.EventPromoted,
	node.EventPromotionFailed, node.EventClaimLost, gateway.EventUnreachable,
}

// logLine is one line of an instance's log.
type logLine struct {
	Instance string         `json:"instance"`
	Time     string         `json:"time"`
	Event    string         `json:"event"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// requestTrace holds the log lines that explain one request.
type requestTrace struct {
	ID string `json:"id"`
	// Lines are the lines with the request's id, in order of time.
	Lines []logLine `json:"lines"`
	// Context holds the last lines before the request's end about the state of the instances and servers involved.
	Context []logLine `json:"beliefs"`
}

func newExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from logs what became of a request, and what decided it",
		Long: `explain reads the log lines of instances from files, or from standard input, and prints those about one
request and the last ones before its end about the configuration, the store, and the servers concerned.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			s := explain(args[0], lines)
			if len(s.Lines) == 0 {
				return errNoLines
			}
			return o.print(cmd.OutOrStdout(), s)
		},
	}
}

// readLogs returns the log lines of all files in order of time, or those of stdin in their own order if there are no
// files. Lines without a JSON object that names an event are skipped.
func readLogs(stdin io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(stdin)
	}
	var out []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "log can't be read; check the path")
		}
		lines, err := readLog(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return out, nil
}

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, errors.Wrap(scanner.Err(), "read a log")
}

// parseLine parses a log line; a prefix added by a log collector is ignored.
func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return logLine{}, false
	}
	popString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := logLine{Instance: popString("instance"), Time: popString("time"), Event: popString("event"), Message: popString("msg")}
	delete(fields, "level")
	line.Fields = fields
	return line, line.Event != ""
}

// explain selects the lines of a request and the context lines before its end.
func explain(id string, lines []logLine) requestTrace {
	trace := requestTrace{ID: id}
	last := -1
	for i, line := range lines {
		if line.Fields["id"] == id {
			trace.Lines = append(trace.Lines, line)
			last = i
		}
	}
	if last < 0 {
		return trace
	}
	seen := map[string]bool{}
	for _, line := range slices.Backward(lines[:last]) {
		if key := contextKey(line, trace.Lines); key != "" && !seen[key] {
			seen[key] = true
			trace.Context = append(trace.Context, line)
		}
	}
	slices.Reverse(trace.Context)
	return trace
}

// contextKey identifies the state that a context line reports, so that only the last line for each key is kept. It is
// empty if line is not relevant to the request.
func contextKey(line logLine, request []logLine) string {
	for _, about := range request {
		server, _ := about.Fields["server"].(string)
		switch {
		case slices.Contains(contextEvents, line.Event) && line.Instance == about.Instance:
			return strings.Join([]string{line.Instance, topic(line), fmt.Sprint(line.Fields["kind"])}, " ")
		case slices.Contains(serverEvents, line.Event) && server != "" && (line.Fields["server"] == server || line.Fields["old"] == server):
			return line.Event + " " + server
		}
	}
	return ""
}

// topic maps events that supersede each other to one name.
func topic(line logLine) string {
	switch line.Event {
	case node.EventStoreUnavailable, node.EventStoreRecovered:
		return "store"
	case node.EventReady, node.EventNotReady:
		return "readiness"
	}
	return line.Event
}

func (t requestTrace) writeText(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", t.ID)
	for _, line := range t.Lines {
		line.writeText(w)
	}
	fmt.Fprintln(w, "what was believed before its end")
	for _, line := range t.Context {
		line.writeText(w)
	}
}

func (l logLine) writeText(w io.Writer) {
	fmt.Fprintf(w, "  %s %s %s %s\n", l.Time, l.Instance, l.Event, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var parts []string
	for _, name := range names {
		if name != "id" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
	}
	if len(parts) > 0 {
		fmt.Fprintf(w, "      %s\n", strings.Join(parts, " "))
	}
}
