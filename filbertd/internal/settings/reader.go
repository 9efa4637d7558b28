package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// logLevels maps the level names allowed in a file to log levels.
var logLevels = map[string]logrus.Level{
	"debug":   logrus.DebugLevel,
	"info":    logrus.InfoLevel,
	"warning": logrus.WarnLevel,
	"error":   logrus.ErrorLevel,
}

// parse returns the settings in data. Faults name file as their file.
func parse(file string, data []byte) (*Settings, error) {
	tree := make(map[string]any)
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, syntaxError(file, err)
	}
	r := newReader(tree)
	s := r.settings()
	r.addUnknownKeys("", tree)
	c := &checker{}
	c.settings(s)
	for _, f := range c.faults {
		if !r.hasFault(f.Key) {
			r.faults = append(r.faults, f)
		}
	}
	if len(r.faults) == 0 {
		return s, nil
	}
	lines := linesOf(data)
	for i := range r.faults {
		f := &r.faults[i]
		f.File = file
		f.Line = lines[f.Key]
		if f.Line > 0 && f.Found == foundNothing {
			f.Found = quote("")
		}
	}
	slices.SortStableFunc(r.faults, compareFaults)
	return nil, errorOf(r.faults)
}

// A reader reads typed values from a decoded TOML file and collects faults.
type reader struct {
	tree   map[string]any
	faults []Fault
	// known contains the keys that were read, and the keys of their tables.
	known map[string]bool
	// faulty contains the keys that have a fault.
	faulty map[string]bool
}

func newReader(tree map[string]any) *reader {
	return &reader{
		tree:   tree,
		known:  make(map[string]bool),
		faulty: make(map[string]bool),
	}
}

func (r *reader) addValueFault(key string, found any, allowed string) {
	r.addFault(key, describe(found), allowed)
}

func (r *reader) addFault(key, found, allowed string) {
	r.faulty[key] = true
	r.faults = append(r.faults, Fault{
		Key:     key,
		Found:   found,
		Allowed: allowed,
	})
}

func (r *reader) address(key, allowed string) netip.AddrPort {
	text, ok := r.text(key, allowed)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addValueFault(key, text, allowed)
	}
	return a
}

func (r *reader) duration(key string, fallback time.Duration) time.Duration {
	allowed := durationRange(MinPlatformTimeout, MaxPlatformTimeout)
	text, ok := r.text(key, allowed)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addValueFault(key, text, allowed)
	}
	return d
}

func (r *reader) integer(key string, fallback, low, high int) int {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok {
		r.addValueFault(key, v, integerRange(low, high))
		return fallback
	}
	return int(n)
}

func (r *reader) ip(key string) netip.Addr {
	text, ok := r.text(key, allowedIP)
	if !ok {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		r.addValueFault(key, text, allowedIP)
	}
	return a
}

func (r *reader) level(key string) logrus.Level {
	text, ok := r.text(key, allowedLevel)
	if !ok {
		return logrus.InfoLevel
	}
	level, ok := logLevels[text]
	if !ok {
		r.addValueFault(key, text, allowedLevel)
	}
	return level
}

// hasFault reports whether a key or its table already has a fault.
func (r *reader) hasFault(key string) bool {
	table, _, _ := strings.Cut(key, ".")
	return r.faulty[key] || r.faulty[table]
}

func (r *reader) settings() *Settings {
	return &Settings{
		Name: r.textOr("name", ""),
		Zone: r.textOr("zone", ""),
		Callers: Callers{
			IP: r.ip("callers.ip"),
		},
		Relay: Relay{
			Listen: r.address("relay.listen", allowedSpecific),
		},
		Control: Control{
			Listen: r.address("control.listen", allowedSpecific),
		},
		Admin: Admin{
			Listen: r.address("admin.listen", allowedAddress),
		},
		Upstreams: Upstreams{
			IP: r.ip("upstreams.ip"),
		},
		Platform: Platform{
			URL:     r.url("platform.url"),
			Timeout: r.duration("platform.timeout", DefaultPlatformTimeout),
		},
		Log: Log{
			Level:  r.level("log.level"),
			Format: Format(r.textOr("log.format", string(FormatText))),
		},
		Limits: Limits{
			Flows:    r.integer("limits.flows", DefaultFlowLimit, 1, MaxFlowLimit),
			Requests: r.integer("limits.requests", DefaultRequestLimit, 1, MaxRequestLimit),
			Queue:    r.integer("limits.queue", DefaultQueueSize, MinQueueSize, MaxQueueSize),
		},
	}
}

// text returns the text at a key; ok is false if the key is missing or its
// value is not text.
func (r *reader) text(key, allowed string) (text string, ok bool) {
	v, ok := r.value(key)
	if !ok {
		return "", false
	}
	text, ok = v.(string)
	if !ok {
		r.addValueFault(key, v, allowed)
	}
	return text, ok
}

func (r *reader) textOr(key, fallback string) string {
	text, ok := r.text(key, "text")
	if !ok {
		return fallback
	}
	return text
}

// addUnknownKeys adds a fault for each key of a table that is not a known key.
func (r *reader) addUnknownKeys(prefix string, table map[string]any) {
	for key, v := range table {
		path := prefix + key
		if !r.known[path] {
			r.addFault(path, "an unknown key", "one of: "+strings.Join(r.siblings(prefix), ", "))
			continue
		}
		if t, ok := v.(map[string]any); ok {
			r.addUnknownKeys(path+".", t)
		}
	}
}

// siblings returns the known keys of a table in alphabetical order.
func (r *reader) siblings(prefix string) []string {
	var keys []string
	for key := range r.known {
		rest, ok := strings.CutPrefix(key, prefix)
		if ok && !strings.Contains(rest, ".") {
			keys = append(keys, rest)
		}
	}
	slices.Sort(keys)
	return keys
}

func (r *reader) url(key string) *url.URL {
	text, ok := r.text(key, allowedURL)
	if !ok {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil {
		r.addValueFault(key, text, allowedURL)
		return nil
	}
	return u
}

// value returns the value at a dotted key and records the key as known. It adds
// a fault if the part before the dot is not a table.
func (r *reader) value(key string) (any, bool) {
	r.known[key] = true
	table, name, ok := strings.Cut(key, ".")
	if !ok {
		v, found := r.tree[key]
		return v, found
	}
	r.known[table] = true
	v, found := r.tree[table]
	if !found {
		return nil, false
	}
	t, ok := v.(map[string]any)
	if !ok {
		if !r.faulty[table] {
			r.addValueFault(table, v, "a table")
		}
		return nil, false
	}
	v, found = t[name]
	return v, found
}

func compareFaults(a, b Fault) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return strings.Compare(a.Key, b.Key)
}

// describe returns the text that stands for a TOML value in a fault.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return fmt.Sprint(v)
	}
}

// syntaxError returns the error for a file that is not valid TOML.
func syntaxError(file string, err error) error {
	f := Fault{
		File:    file,
		Found:   err.Error(),
		Allowed: "a TOML file",
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Key = strings.Join(d.Key(), ".")
	}
	return errorOf([]Fault{f})
}
