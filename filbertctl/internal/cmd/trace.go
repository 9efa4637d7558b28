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
// upstreams of these flows or every request, or tell where the balancers of these flows
// sent the new flows of their services. For a request there are
// also the attempts of its clients, within traceMargin, that were rejected for the lack
// of room: no request of theirs was ever seen.
func relatedLines(all []LogLine, id string) []LogLine {
	f := &lineFilter{
		id:        id,
		flows:     map[string]bool{id: true},
		upstreams: make(map[string]bool),
		services:  make(map[origin]bool),
		callers:   make(map[caller]bool),
		rejected:  make(map[string]bool),
	}
	for i := range all {
		f.addRequestLine(&all[i])
	}
	isRequest := !f.first.IsZero()
	for i := range all {
		f.addRejectedLine(&all[i])
	}
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

// reasonNoRoom is the reason of decisions that reject a flow for the lack of room.
const reasonNoRoom = "no room"

// zonePrefix is the prefix of messages on where a zone's new flows of one service go.
const zonePrefix = "zone:"

// contextPrefixes are the prefixes of messages that concern every request.
var contextPrefixes = []string{"directory: plan", "directory: zone", "daemon:", "store:"}

// A lineFilter selects the lines that concern a request or flow. First all lines are
// added to it, then they are matched.
type lineFilter struct {
	// id is that of the request or flow.
	id string
	// flows are the flows of the request.
	flows map[string]bool
	// upstreams are those of the flows, and services their services with the balancers that
	// decided on new flows.
	upstreams map[string]bool
	services  map[origin]bool
	// callers are the clients of the request, and rejected are their flows that were
	// rejected for the lack of room.
	callers  map[caller]bool
	rejected map[string]bool
	// first and last are the times of the first and the last line of the request or
	// flow.
	first, last time.Time
}

// An origin is a service whose new flows a balancer sends somewhere.
type origin struct {
	balancer, service string
}

// originOf returns the line's balancer and service.
func originOf(l *LogLine) origin {
	return origin{
		balancer: l.Balancer,
		service:  l.text("service"),
	}
}

// A caller is a client that opens flows to an address.
type caller struct {
	client, service string
}

// callerOf returns the client of the line's flow, without its port.
func callerOf(l *LogLine) caller {
	client, _, _ := strings.Cut(l.text("flow"), ":")
	return caller{
		client:  client,
		service: l.text("service_address"),
	}
}

// addRequestLine adds the flow and the time of a line of the request.
func (f *lineFilter) addRequestLine(l *LogLine) {
	if l.text("request") == f.id {
		f.flows[l.text("flow")] = true
		f.callers[callerOf(l)] = true
		f.extendTimes(l)
	}
}

// addRejectedLine adds the flow of a line that rejects an attempt of the request's clients
// for the lack of room.
func (f *lineFilter) addRejectedLine(l *LogLine) {
	if l.text("reason") == reasonNoRoom && f.callers[callerOf(l)] && f.inTime(l) {
		f.rejected[l.text("flow")] = true
		f.services[originOf(l)] = true
	}
}

// addFlowLine adds the upstream of a line of the request's flows, and its time if
// extend is true.
func (f *lineFilter) addFlowLine(l *LogLine, extend bool) {
	if !f.matchesFlow(l) {
		return
	}
	f.upstreams[l.text("upstream")] = true
	if l.text("service") != "" {
		f.services[originOf(l)] = true
	}
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

// inTime reports whether a line is within traceMargin.
func (f *lineFilter) inTime(l *LogLine) bool {
	return !l.Time.Before(f.first.Add(-traceMargin)) && !l.Time.After(f.last.Add(traceMargin))
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
	if f.rejected[l.text("flow")] && f.inTime(l) {
		return true
	}
	return f.matchesFlow(l) && (request == "" || request == f.id || f.flows[f.id] && l.text("flow") == f.id)
}

// matchesContext reports whether a line within traceMargin belongs to no flow and
// concerns an upstream of the flows, where their balancers sent new flows, or every request.
func (f *lineFilter) matchesContext(l *LogLine) bool {
	if !f.inTime(l) || l.text("flow") != "" {
		return false
	}
	if u := l.text("upstream"); u != "" {
		return f.upstreams[u]
	}
	if strings.HasPrefix(l.Message, zonePrefix) {
		return f.services[originOf(l)]
	}
	return slices.ContainsFunc(contextPrefixes, func(p string) bool { return strings.HasPrefix(l.Message, p) })
}
