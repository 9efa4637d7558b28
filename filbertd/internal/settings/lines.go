package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// linesOf returns the line number of each dotted key of a TOML file, counted
// from one. The line of a table is that of its header or of its first dotted
// key.
func linesOf(data []byte) map[string]int {
	lines := make(map[string]int)
	p := &unstable.Parser{}
	p.Reset(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = recordKey(lines, p, "", e)
		case unstable.KeyValue:
			recordValue(lines, p, prefix, e)
		default:
		}
	}
	return lines
}

// recordKey records the line of each part of a node's key and returns the whole
// dotted key.
func recordKey(lines map[string]int, p *unstable.Parser, prefix string, n *unstable.Node) string {
	path := prefix
	for it := n.Key(); it.Next(); {
		part := it.Node()
		path = join(path, string(part.Data))
		if lines[path] == 0 {
			lines[path] = p.Shape(part.Raw).Start.Line
		}
	}
	return path
}

// recordValue records the line of a key and, if its value is an inline table,
// the lines of that table's keys.
func recordValue(lines map[string]int, p *unstable.Parser, prefix string, n *unstable.Node) {
	path := recordKey(lines, p, prefix, n)
	value := n.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		recordValue(lines, p, path, it.Node())
	}
}

func join(parts ...string) string {
	return strings.TrimPrefix(strings.Join(parts, "."), ".")
}
