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
	// Skipped is the number of lines that are no JSON objects.
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
		return eris.Errorf("no line tells of %q", o.Arguments.ID)
	}
	return o.config.write(result, func(w io.Writer) {
		for i := range result.Lines {
			printf(w, "%s\n", result.Lines[i].String())
		}
		if result.Skipped > 0 {
			printf(w, "%d lines could not be read\n", result.Skipped)
		}
	})
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

// text returns a field as text; numbers have no decimals.
func (l *LogLine) text(name string) string {
	switch v := l.Fields[name].(type) {
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.0f", v)
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
	if json.Unmarshal(data[i:], &l) != nil || json.Unmarshal(data[i:], &l.Fields) != nil {
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
	flows, upstreams := make(map[string]bool), make(map[string]bool)
	flows[id] = true
	var first, last time.Time
	see := func(l *LogLine) {
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	for i := range all {
		if l := &all[i]; l.text("request") == id {
			flows[l.text("flow")] = true
			see(l)
		}
	}
	for i := range all {
		l := &all[i]
		if !flows[l.text("flow")] || l.text("flow") == "" {
			continue
		}
		upstreams[l.text("upstream")] = true
		if first.IsZero() || l.text("flow") == id {
			see(l)
		}
	}
	var chosen []LogLine
	for i := range all {
		l := &all[i]
		near := !l.Time.Before(first.Add(-traceMargin)) && !l.Time.After(last.Add(traceMargin))
		own := flows[l.text("flow")] && (l.text("request") == "" || l.text("request") == id)
		of := l.text("flow") == "" && l.text("upstream") != "" && upstreams[l.text("upstream")]
		plan := strings.HasPrefix(l.Message, "directory: plan") || strings.HasPrefix(l.Message, "directory: zone") ||
			strings.HasPrefix(l.Message, "daemon:") || strings.HasPrefix(l.Message, "store:")
		if !first.IsZero() && (own && l.text("flow") != "" || near && (of || plan)) {
			chosen = append(chosen, *l)
		}
	}
	slices.SortStableFunc(chosen, func(a, b LogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Balancer, b.Balancer))
	})
	return chosen
}
