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

// traceMargin is the time before the first and after the last line of a request
// within which lines on its context are shown.
const traceMargin = 5 * time.Second

// A trace shows the lines of balancers' logs that concern a request or a flow.
type trace struct {
	Logs []string `long:"log" value-name:"FILE" required:"true" description:"A balancer's log; may be repeated"`
	All  bool     `long:"all" description:"Show each balancer's line on an event that more than five balancers tell of"`

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

// A Trace holds the log lines that concern a request or flow, in the order of time.
type Trace struct {
	Lines []LogLine `json:"lines"`
	// Skipped is the number of lines that are not JSON objects with a time.
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
			return eris.Errorf("no log line mentions %q; %s", o.Arguments.ID, result.skippedMessage())
		}
		return eris.Errorf("no log line mentions %q", o.Arguments.ID)
	}
	if !o.All {
		result.Lines = summarizeEvents(result.Lines)
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

// skippedMessage returns the message on the lines that could not be read.
func (t *Trace) skippedMessage() string {
	return fmt.Sprintf("%d lines could not be read", t.Skipped)
}

// String returns the line as text, with its fields sorted by name.
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

// text returns a field that is a string or a number as text, else an empty string.
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

// parseLog returns the lines of a log and the number of lines that could not be
// read.
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

// parseLine parses one line. It ignores what a log collector writes before the JSON
// object.
func parseLine(data []byte) (LogLine, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return LogLine{}, false
	}
	var l LogLine
	fields := json.NewDecoder(bytes.NewReader(data[i:]))
	// Incarnations have more digits than a float64 can represent.
	fields.UseNumber()
	if json.Unmarshal(data[i:], &l) != nil || fields.Decode(&l.Fields) != nil {
		return LogLine{}, false
	}
	for _, n := range []string{"time", "balancer", "msg", "level"} {
		delete(l.Fields, n)
	}
	return l, !l.Time.IsZero()
}

// relatedLines returns the lines that concern a request or flow, in the order of
// time: its own, those of its flows, and those within traceMargin that concern the
// upstreams of these flows or every request.
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

// contextPrefixes are the prefixes of messages that concern every request.
var contextPrefixes = []string{"directory: plan", "directory: zone", "daemon:", "store:"}

// A lineFilter selects the lines that concern a request or flow. First all lines are
// added to it, then they are matched.
type lineFilter struct {
	// id is that of the request or flow.
	id string
	// flows are the flows of the request.
	flows map[string]bool
	// upstreams are those of the flows.
	upstreams map[string]bool
	// first and last are the times of the first and the last line of the request or
	// flow.
	first, last time.Time
}

// addRequestLine adds the flow and the time of a line of the request.
func (f *lineFilter) addRequestLine(l *LogLine) {
	if l.text("request") == f.id {
		f.flows[l.text("flow")] = true
		f.extendTimes(l)
	}
}

// addFlowLine adds the upstream of a line of the request's flows, and its time if
// extend is true.
func (f *lineFilter) addFlowLine(l *LogLine, extend bool) {
	if !f.matchesFlow(l) {
		return
	}
	f.upstreams[l.text("upstream")] = true
	if extend {
		f.extendTimes(l)
	}
}

// extendTimes extends the time range to that of a line.
func (f *lineFilter) extendTimes(l *LogLine) {
	if f.first.IsZero() || l.Time.Before(f.first) {
		f.first = l.Time
	}
	if l.Time.After(f.last) {
		f.last = l.Time
	}
}

// matchesFlow reports whether a line belongs to one of the flows.
func (f *lineFilter) matchesFlow(l *LogLine) bool {
	flow := l.text("flow")
	return flow != "" && f.flows[flow]
}

// matchesRequest reports whether a line belongs to the request, or to one of its
// flows and to no other request. If id is that of a flow, it matches all the lines
// of the flow.
func (f *lineFilter) matchesRequest(l *LogLine) bool {
	request := l.text("request")
	return f.matchesFlow(l) && (request == "" || request == f.id || f.flows[f.id] && l.text("flow") == f.id)
}

// matchesContext reports whether a line within traceMargin belongs to no flow and
// concerns an upstream of the flows or every request.
func (f *lineFilter) matchesContext(l *LogLine) bool {
	if l.Time.Before(f.first.Add(-traceMargin)) || l.Time.After(f.last.Add(traceMargin)) || l.text("flow") != "" {
		return false
	}
	if u := l.text("upstream"); u != "" {
		return f.upstreams[u]
	}
	return slices.ContainsFunc(contextPrefixes, func(p string) bool { return strings.HasPrefix(l.Message, p) })
}
