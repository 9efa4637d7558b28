// Package preview describes the effects of a change of the configuration.
package preview

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"filbertworks.example/filbertworks/config"
)

// An Action is a kind of change of an item.
type Action string

// Actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// A Preview describes the difference between two documents.
type Preview struct {
	// Changes are those of keys, zones, services and upstreams, in this order.
	Changes []Change `json:"changes"`
	// Capacity lists the services and zones whose capacity changes.
	Capacity []Capacity `json:"capacity"`
}

// A Change is the change of one item of a document.
type Change struct {
	Action Action `json:"action"`
	// Kind is "keys", "zone", "service" or "upstream".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Service is set for upstreams.
	Service string `json:"service,omitempty"`
	// Details are the fields that change, such as "state active -> draining", or
	// those of an added item, such as "state active".
	Details []string `json:"details,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	signs := map[Action]string{
		ActionAdd:    "+",
		ActionChange: "~",
		ActionRemove: "-",
	}
	line := fmt.Sprintf("%s %s %s", signs[c.Action], c.Kind, c.Name)
	if c.Service != "" {
		line += " of " + c.Service
	}
	if len(c.Details) > 0 {
		line += ": " + strings.Join(c.Details, ", ")
	}
	return line
}

// A Capacity is the capacity of a service's upstreams in one zone, before and
// after the change. Draining upstreams and zones taken out count as zero.
type Capacity struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Slots is the maximum number of requests in flight.
	Slots BeforeAfter `json:"slots"`
	// Connections is the maximum number of open watches.
	Connections BeforeAfter `json:"connections"`
}

// A BeforeAfter is a number before and after a change.
type BeforeAfter struct {
	Before uint64 `json:"before"`
	After  uint64 `json:"after"`
}

// String returns both numbers, such as "2 -> 4".
func (s BeforeAfter) String() string {
	return fmt.Sprintf("%d -> %d", s.Before, s.After)
}

// Of returns the preview of the change between two documents. Both must pass their
// checks.
func Of(from, to *config.Document) *Preview {
	p := &Preview{
		Changes:  []Change{},
		Capacity: []Capacity{},
	}
	p.keys(from.Keys, to.Keys)
	p.items("zone", zonesOf(from), zonesOf(to))
	p.items("service", servicesOf(from), servicesOf(to))
	p.items("upstream", upstreamsOf(from), upstreamsOf(to))
	p.capacity(from, to)
	return p
}

// An item is a zone, service or upstream of a document with its fields as text.
type item struct {
	// id identifies the item in both documents: it is the name of a zone and the id
	// of a service or upstream.
	id      string
	name    string
	service string
	fields  []field
}

// A field is one value of an item as text.
type field struct {
	name string
	text string
}

func (p *Preview) add(action Action, kind string, i *item, details []string) {
	p.Changes = append(p.Changes, Change{
		Action:  action,
		Kind:    kind,
		Name:    i.name,
		Service: i.service,
		Details: details,
	})
}

// capacity adds the changes of capacity.
func (p *Preview) capacity(from, to *config.Document) {
	before, after := capacities(from), capacities(to)
	zones := make([]serviceZone, 0, len(before)+len(after))
	for k := range before {
		zones = append(zones, k)
	}
	for k := range after {
		zones = append(zones, k)
	}
	slices.SortFunc(zones, compareServiceZones)
	for _, k := range slices.Compact(zones) {
		b, a := before[k], after[k]
		if a == b {
			continue
		}
		p.Capacity = append(p.Capacity, Capacity{
			Service: k.service,
			Zone:    k.zone,
			Slots: BeforeAfter{
				Before: b.slots,
				After:  a.slots,
			},
			Connections: BeforeAfter{
				Before: b.connections,
				After:  a.connections,
			},
		})
	}
}

// items adds the changes between two lists of items.
func (p *Preview) items(kind string, from, to []item) {
	for i := range from {
		f := &from[i]
		if find(to, f.id) == nil {
			p.add(ActionRemove, kind, f, nil)
		}
	}
	for i := range to {
		t := &to[i]
		f := find(from, t.id)
		if f == nil {
			p.add(ActionAdd, kind, t, fieldTexts(t))
			continue
		}
		if d := changedFields(f, t); len(d) > 0 {
			p.add(ActionChange, kind, f, d)
		}
	}
}

// keys adds the change of the keys. It shows their ids only, to keep secrets out of
// terminals and logs.
func (p *Preview) keys(from, to []config.Key) {
	same := slices.EqualFunc(from, to, func(a, b config.Key) bool {
		return a.ID == b.ID && slices.Equal(a.Secret, b.Secret)
	})
	if same {
		return
	}
	p.Changes = append(p.Changes, Change{
		Action:  ActionChange,
		Kind:    "keys",
		Name:    "all",
		Details: []string{fmt.Sprintf("ids %v -> %v", keyIDs(from), keyIDs(to))},
	})
}

// changedFields returns the fields that differ between two versions of an item.
func changedFields(from, to *item) []string {
	var d []string
	for i, f := range from.fields {
		t := to.fields[i]
		if f.text != t.text {
			d = append(d, fmt.Sprintf("%s %s -> %s", f.name, f.text, t.text))
		}
	}
	return d
}

func find(items []item, id string) *item {
	i := slices.IndexFunc(items, func(i item) bool { return i.id == id })
	if i < 0 {
		return nil
	}
	return &items[i]
}

func keyIDs(keys []config.Key) []uint8 {
	ids := make([]uint8, 0, len(keys))
	for _, k := range keys {
		ids = append(ids, k.ID)
	}
	return ids
}

func servicesOf(d *config.Document) []item {
	items := make([]item, 0, len(d.Services))
	for i := range d.Services {
		s := &d.Services[i]
		items = append(items, item{
			id:   fmt.Sprint(s.ID),
			name: s.Name,
			fields: []field{
				{name: "name", text: s.Name},
				{name: "address", text: s.Address.String()},
				{name: "deadline", text: time.Duration(s.Deadline).String()},
				{name: "refresh", text: time.Duration(s.Refresh).String()},
			},
		})
	}
	return items
}

// fieldTexts returns the fields of an item without its name, which is the first.
func fieldTexts(i *item) []string {
	lines := make([]string, 0, len(i.fields))
	for _, f := range i.fields[1:] {
		lines = append(lines, f.name+" "+f.text)
	}
	return lines
}

func upstreamsOf(d *config.Document) []item {
	var items []item
	for i := range d.Services {
		s := &d.Services[i]
		for j := range s.Upstreams {
			items = append(items, upstreamItem(s, &s.Upstreams[j]))
		}
	}
	return items
}

func upstreamItem(s *config.Service, u *config.Upstream) item {
	return item{
		id:      fmt.Sprint(u.ID),
		name:    u.Name,
		service: s.Name,
		fields: []field{
			{name: "name", text: u.Name},
			{name: "service", text: s.Name},
			{name: "zone", text: u.Zone},
			{name: "address", text: u.Address.String()},
			{name: "share", text: fmt.Sprint(u.Share)},
			{name: "slots", text: fmt.Sprint(u.Slots)},
			{name: "connections", text: fmt.Sprint(u.Connections)},
			{name: "state", text: string(u.State)},
		},
	}
}

func zonesOf(d *config.Document) []item {
	items := make([]item, 0, len(d.Zones))
	for _, z := range d.Zones {
		items = append(items, item{
			id:   z.Name,
			name: z.Name,
			fields: []field{
				{name: "name", text: z.Name},
				{name: "region", text: z.Region},
				{name: "state", text: string(z.State)},
			},
		})
	}
	return items
}
