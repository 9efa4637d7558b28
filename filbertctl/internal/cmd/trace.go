package cmd

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// traceMargin is how long before and after a request's lines others are shown.
const traceMargin = 5 * time.Second

// A trace shows what the balancers' logs tell of a request or a flow.
type trace struct {
	Logs []string `long:"log" value-name:"FILE" required:"true" description:"A balancer's log; may be repeated"`

	Arguments struct {
		ID string `positional-arg-name:"ID" description:"A request's id, or a flow as IP:PORT of its client"`
	} `positional-args:"true" required:"true"`

	config *Config
}

// A LogLine is one line of a balancer's log.
type LogLine struct {
	Time     time.Time      `json:"time"`
	Balancer string         `json:"balancer"`
	Message  string         `json:"msg"`
	Fields   map[string]any `json:"fields"`
}

// A Trace is what logs tell of a request, in the order of time.
type Trace struct {
	Lines []LogLine `json:"lines"`
	// Skipped is the number of lines that are no JSON objects with a time.
	Skipped int `json:"skipped"`
}

// Execute runs the subcommand.
func (o *trace) Execute([]string) error {
	var all []LogLine
	result := Trace{}
	for _, name := range o.Logs {
		data, err := o.config.Files.ReadFile(name)
		if err != nil {
			return eris.Wrap(err, "read log")
		}
		lines, skipped := parseLog(data)
		all = append(all, lines...)
		result.Skipped += skipped
	}
	result.Lines = relatedLines(all, o.Arguments.ID)
	if len(result.Lines) == 0 {
		if result.Skipped > 0 {
			return eris.Errorf("no line tells of %q; %s", o.Arguments.ID, result.skippedMessage())
		}
		return eris.Errorf("no line tells of %q", o.Arguments.ID)
	}
	return o.config.write(result, func(w io.Writer) {
		for i := range result.Lines {
			printf(w, "%s\n", result.Lines[i].String())
		}
		if result.Skipped > 0 {
			printf(w, "%s\n", result.skippedMessage())
		}
	})
}

// skippedMessage tells how many lines could not be read.
func (t *Trace) skippedMessage() string {
	return fmt.Sprintf("%d lines could not be read", t.Skipped)
}

// String returns the line for people.
func (l *LogLine) String() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", n, l.Fields[n])
	}
	return fmt.Sprintf("%s %s %s%s", l.Time.Format("15:04:05.000"), l.Balancer, l.Message, b.String())
}

// text returns a field as text; empty for what is neither text nor a number.
func (l *LogLine) text(name string) string {
	switch v := l.Fields[name].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	default:
		return ""
	}
}

// parseLog returns the lines of a log, and how many could not be read.
func parseLog(data []byte) (lines []LogLine, skipped int) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped
}

// parseLine returns one line; what a collector writes before the JSON object
// does not count.
func parseLine(data []byte) (LogLine, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return LogLine{}, false
	}
	var l LogLine
	fields := json.NewDecoder(bytes.NewReader(data[i:]))
	// Incarnations have more digits than a float64.
	fields.UseNumber()
	if json.Unmarshal(data[i:], &l) != nil || fields.Decode(&l.Fields) != nil {
		return LogLine{}, false
	}
	for _, n := range []string{"time", "balancer", "msg", "level"} {
		delete(l.Fields, n)
	}
	return l, !l.Time.IsZero()
}

// relatedLines returns the lines that tell of a request or flow: its own, those of
// its flows, and those of the upstreams that these had, near in time.
func relatedLines(all []LogLine, id string) []LogLine {
	f := &lineFilter{
		id:        id,
		flows:     map[string]bool{id: true},
		upstreams: make(map[string]bool),
	}
	for i := range all {
		f.addRequestLine(&all[i])
	}
	isRequest := !f.first.IsZero()
	for i := range all {
		f.addFlowLine(&all[i], !isRequest)
	}
	if f.first.IsZero() {
		return nil
	}
	chosen := slices.DeleteFunc(slices.Clone(all), func(l LogLine) bool { return !f.matchesRequest(&l) && !f.matchesContext(&l) })
	slices.SortStableFunc(chosen, func(a, b LogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Balancer, b.Balancer))
	})
	return chosen
}

// contextPrefixes begin the messages that matter to every request.
var contextPrefixes = []string{"directory: plan", "directory: zone", "daemon:", "store:"}

// lineFilter is what a request's lines lead to.
type lineFilter struct {
	id        string
	flows     map[string]bool
	upstreams map[string]bool
	// first and last are the times of the request's lines.
	first, last time.Time
}

// addRequestLine takes a line of the request itself.
func (f *lineFilter) addRequestLine(l *LogLine) {
	if l.text("request") == f.id {
		f.flows[l.text("flow")] = true
		f.extendTimes(l)
	}
}

// addFlowLine takes a line of the request's flow; extend tells that it counts for
// the times.
func (f *lineFilter) addFlowLine(l *LogLine, extend bool) {
	if !f.matchesFlow(l) {
		return
	}
	f.upstreams[l.text("upstream")] = true
	if extend {
		f.extendTimes(l)
	}
}

// extendTimes widens the times by those of a line.
func (f *lineFilter) extendTimes(l *LogLine) {
	if f.first.IsZero() || l.Time.Before(f.first) {
		f.first = l.Time
	}
	if l.Time.After(f.last) {
		f.last = l.Time
	}
}

func (f *lineFilter) matchesFlow(l *LogLine) bool {
	flow := l.text("flow")
	return flow != "" && f.flows[flow]
}

// matchesRequest reports whether a line is of the request, or of its flow and of no other
// request.
func (f *lineFilter) matchesRequest(l *LogLine) bool {
	request := l.text("request")
	return f.matchesFlow(l) && (request == "" || request == f.id || f.flows[f.id] && l.text("flow") == f.id)
}

// matchesContext reports whether a line near in time tells of the flow's upstream, or
// of what matters to every request.
func (f *lineFilter) matchesContext(l *LogLine) bool {
	if l.Time.Before(f.first.Add(-traceMargin)) || l.Time.After(f.last.Add(traceMargin)) || l.text("flow") != "" {
		return false
	}
	if u := l.text("upstream"); u != "" {
		return f.upstreams[u]
	}
	return slices.ContainsFunc(contextPrefixes, func(p string) bool { return strings.HasPrefix(l.Message, p) })
}
