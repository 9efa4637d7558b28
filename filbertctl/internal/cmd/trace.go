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
	result.Lines = related(all, o.Arguments.ID)
	if len(result.Lines) == 0 {
		if result.Skipped > 0 {
			return eris.Errorf("no line tells of %q; %s", o.Arguments.ID, result.unreadable())
		}
		return eris.Errorf("no line tells of %q", o.Arguments.ID)
	}
	return o.config.write(result, func(w io.Writer) {
		for i := range result.Lines {
			printf(w, "%s\n", result.Lines[i].String())
		}
		if result.Skipped > 0 {
			printf(w, "%s\n", result.unreadable())
		}
	})
}

// unreadable tells how many lines could not be read.
func (t *Trace) unreadable() string {
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

// related returns the lines that tell of a request or flow: its own, those of
// its flows, and those of the upstreams that these had, near in time.
func related(all []LogLine, id string) []LogLine {
	c := &chain{
		id:        id,
		flows:     map[string]bool{id: true},
		upstreams: make(map[string]bool),
	}
	for i := range all {
		c.takeRequest(&all[i])
	}
	named := !c.first.IsZero()
	for i := range all {
		c.takeFlow(&all[i], !named)
	}
	if c.first.IsZero() {
		return nil
	}
	chosen := slices.DeleteFunc(slices.Clone(all), func(l LogLine) bool { return !c.own(&l) && !c.context(&l) })
	slices.SortStableFunc(chosen, func(a, b LogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Balancer, b.Balancer))
	})
	return chosen
}

// contextPrefixes begin the messages that matter to every request.
var contextPrefixes = []string{"directory: plan", "directory: zone", "daemon:", "store:"}

// chain is what a request's lines lead to.
type chain struct {
	id        string
	flows     map[string]bool
	upstreams map[string]bool
	// first and last are the times of the request's lines.
	first, last time.Time
}

// takeRequest takes a line of the request itself.
func (c *chain) takeRequest(l *LogLine) {
	if l.text("request") == c.id {
		c.flows[l.text("flow")] = true
		c.see(l)
	}
}

// takeFlow takes a line of the request's flow; timed tells that it counts for
// the times.
func (c *chain) takeFlow(l *LogLine, timed bool) {
	if !c.ofFlow(l) {
		return
	}
	c.upstreams[l.text("upstream")] = true
	if timed {
		c.see(l)
	}
}

// see widens the times by those of a line.
func (c *chain) see(l *LogLine) {
	if c.first.IsZero() || l.Time.Before(c.first) {
		c.first = l.Time
	}
	if l.Time.After(c.last) {
		c.last = l.Time
	}
}

func (c *chain) ofFlow(l *LogLine) bool {
	flow := l.text("flow")
	return flow != "" && c.flows[flow]
}

// own reports whether a line is of the request, or of its flow and of no other
// request.
func (c *chain) own(l *LogLine) bool {
	request := l.text("request")
	return c.ofFlow(l) && (request == "" || request == c.id || c.flows[c.id] && l.text("flow") == c.id)
}

// context reports whether a line near in time tells of the flow's upstream, or
// of what matters to every request.
func (c *chain) context(l *LogLine) bool {
	if l.Time.Before(c.first.Add(-traceMargin)) || l.Time.After(c.last.Add(traceMargin)) || l.text("flow") != "" {
		return false
	}
	if u := l.text("upstream"); u != "" {
		return c.upstreams[u]
	}
	return slices.ContainsFunc(contextPrefixes, func(p string) bool { return strings.HasPrefix(l.Message, p) })
}
