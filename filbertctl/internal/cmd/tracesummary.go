package cmd

import (
	"fmt"
	"strings"
)

// maxRepeatedLines is the number of balancers up to which each one's line on the same event
// is shown.
const maxRepeatedLines = 5

// eventFields are the fields that tell events with the same message apart. The others differ
// from balancer to balancer.
var eventFields = []string{"upstream", "zone", "plan", "out", "gone", "draining", "result", "reads", "leads", "service", "to_zone"}

// summarizeEvents replaces the lines of more than maxRepeatedLines balancers on the same
// event by one line at the time of the first. Lines of flows are kept.
func summarizeEvents(lines []LogLine) []LogLine {
	groups := make(map[string][]int)
	for i := range lines {
		if lines[i].text("flow") == "" {
			k := eventOf(&lines[i])
			groups[k] = append(groups[k], i)
		}
	}
	kept := make([]LogLine, 0, len(lines))
	for i := range lines {
		group := groups[eventOf(&lines[i])]
		switch {
		case lines[i].text("flow") != "" || countBalancers(lines, group) <= maxRepeatedLines:
			kept = append(kept, lines[i])
		case group[0] == i:
			kept = append(kept, summaryLine(lines, group))
		}
	}
	return kept
}

// eventOf returns a text that is the same for lines on the same event.
func eventOf(l *LogLine) string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, n := range eventFields {
		if v, ok := l.Fields[n]; ok {
			_, _ = fmt.Fprintf(&b, " %s=%v", n, v)
		}
	}
	return b.String()
}

// countBalancers returns the number of balancers that wrote the lines with the given
// indices.
func countBalancers(lines []LogLine, indices []int) int {
	names := make(map[string]struct{})
	for _, i := range indices {
		names[lines[i].Balancer] = struct{}{}
	}
	return len(names)
}

// summaryLine returns one line for those with the given indices, which are in the order of
// time: with what tells the event apart, the time from the first to the last line, and the
// balancer that was last.
func summaryLine(lines []LogLine, indices []int) LogLine {
	first, last := &lines[indices[0]], &lines[indices[len(indices)-1]]
	l := LogLine{
		Time:     first.Time,
		Balancer: fmt.Sprintf("%d balancers", countBalancers(lines, indices)),
		Message:  first.Message,
		Fields: map[string]any{
			"first":   first.Balancer,
			"last":    last.Balancer,
			"last_ms": last.Time.Sub(first.Time).Milliseconds(),
			"lines":   len(indices),
		},
	}
	for _, n := range eventFields {
		if v, ok := first.Fields[n]; ok {
			l.Fields[n] = v
		}
	}
	return l
}
