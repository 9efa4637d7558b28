package wire

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"filbertworks.example/filbertworks/directory"
)

// deltaFormat is the first byte of a datagram that holds a delta. It differs
// from the formats of other datagrams between balancers.
const deltaFormat = 0xf5

// ErrDelta reports a datagram or message that is not a delta of this format.
var ErrDelta = eris.New("malformed delta")

// AppendDelta appends the datagram for d to buf. Times are encoded relative to
// now; origin is the incarnation of the balancer that read the delta from the
// platform.
func AppendDelta(buf []byte, now time.Time, d *directory.Delta, origin uint64) ([]byte, error) {
	m := NewDelta(now, d)
	m.Origin = origin
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(buf, deltaFormat), m)
	return buf, eris.Wrap(err, "marshal delta")
}

// IsDelta reports whether data is a delta rather than another datagram.
func IsDelta(data []byte) bool {
	return len(data) > 0 && data[0] == deltaFormat
}

// ParseDelta returns the delta of a datagram received at now, and its origin.
// The error is ErrDelta.
func ParseDelta(now time.Time, data []byte) (*directory.Delta, uint64, error) {
	m := &Delta{}
	if !IsDelta(data) || proto.Unmarshal(data[1:], m) != nil {
		return nil, 0, ErrDelta
	}
	d, err := m.Decode(now)
	return d, m.GetOrigin(), err
}

// NewDelta returns the message for d, with times relative to now.
func NewDelta(now time.Time, d *directory.Delta) *Delta {
	m := &Delta{
		Era:      d.Era,
		Base:     d.Base,
		Revision: d.Revision,
		Items:    make([]*Item, 0, len(d.Items)),
	}
	for i := range d.Items {
		m.Items = append(m.Items, newItem(now, &d.Items[i]))
	}
	for i := range d.Retained {
		m.Retained = append(m.Retained, newRetained(now, &d.Retained[i]))
	}
	return m
}

// Decode returns the delta of a message received at now. The error is ErrDelta.
func (x *Delta) Decode(now time.Time) (*directory.Delta, error) {
	d := &directory.Delta{
		Era:      x.GetEra(),
		Base:     x.GetBase(),
		Revision: x.GetRevision(),
		Items:    make([]directory.Item, 0, len(x.GetItems())),
	}
	for _, m := range x.GetItems() {
		i, err := m.decode(now)
		if err != nil {
			return nil, err
		}
		d.Items = append(d.Items, *i)
	}
	for _, m := range x.GetRetained() {
		i, err := m.GetItem().decode(now)
		if err != nil {
			return nil, err
		}
		r := directory.Retained{Item: *i}
		if m.GetRemaining() > 0 {
			r.Until = now.Add(duration(m.GetRemaining()))
		}
		d.Retained = append(d.Retained, r)
	}
	return d, nil
}

func newRetained(now time.Time, r *directory.Retained) *Retained {
	m := &Retained{Item: newItem(now, &r.Item)}
	if !r.Until.IsZero() {
		m.Remaining = max(milliseconds(r.Until.Sub(now)), 1)
	}
	return m
}

func newItem(now time.Time, i *directory.Item) *Item {
	m := &Item{
		Kind:     uint32(i.Key.Kind),
		Name:     i.Key.Name,
		Revision: i.Revision,
		Deleted:  i.Deleted,
	}
	if i.Upstream != nil {
		m.Upstream = newUpstream(now, i.Upstream)
	}
	if i.Plan != nil {
		m.Plan = newPlan(i.Plan)
	}
	return m
}

func (x *Item) decode(now time.Time) (*directory.Item, error) {
	i := &directory.Item{
		Key: directory.Key{
			Kind: directory.Kind(x.GetKind()),
			Name: x.GetName(),
		},
		Revision: x.GetRevision(),
		Deleted:  x.GetDeleted(),
	}
	var err error
	if u := x.GetUpstream(); u != nil {
		i.Upstream, err = u.decode(now, x.GetName())
	}
	if p := x.GetPlan(); p != nil && err == nil {
		i.Plan, err = p.decode()
	}
	return i, err
}

func newUpstream(now time.Time, u *directory.Upstream) *Upstream {
	m := &Upstream{
		Service:  u.Service,
		Address:  addressBytes(u.Address),
		Zone:     u.Zone,
		Release:  u.Release,
		Slots:    uint32(u.Slots),
		Draining: u.Draining,
		Lapsed:   u.Lapsed,
		Sequence: u.Sequence,
	}
	if u.Cold(now) {
		m.Warming = milliseconds(u.WarmAt.Sub(now))
	}
	if !u.StartedAt.IsZero() {
		m.Born = u.StartedAt.UnixMilli()
	}
	if !u.DepartedAt.IsZero() {
		m.Departed = milliseconds(now.Sub(u.DepartedAt)) + 1
	}
	return m
}

func (x *Upstream) decode(now time.Time, id string) (*directory.Upstream, error) {
	address, err := parseAddress(x.GetAddress())
	if err != nil {
		return nil, err
	}
	u := &directory.Upstream{
		ID:       id,
		Service:  x.GetService(),
		Address:  address,
		Zone:     x.GetZone(),
		Release:  x.GetRelease(),
		Slots:    int(x.GetSlots()),
		Draining: x.GetDraining(),
		Lapsed:   x.GetLapsed(),
		Sequence: x.GetSequence(),
	}
	if x.GetWarming() > 0 {
		u.WarmAt = now.Add(duration(x.GetWarming()))
	}
	if x.GetBorn() != 0 {
		u.StartedAt = time.UnixMilli(x.GetBorn())
	}
	if x.GetDeparted() > 0 {
		u.DepartedAt = now.Add(-duration(x.GetDeparted() - 1))
	}
	return u, nil
}

func newPlan(p *directory.Plan) *Plan {
	m := &Plan{
		Version: p.Version,
		Idle:    milliseconds(p.IdleTimeout),
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		route := &Route{
			Name:       r.Name,
			Address:    addressBytes(r.Address),
			Idempotent: r.Idempotent,
			Timeout:    milliseconds(r.Timeout),
			Priority:   uint32(r.Priority),
			Goal:       milliseconds(r.LatencyGoal),
		}
		for _, t := range r.Targets {
			route.Targets = append(route.Targets, &Target{
				Service: t.Service,
				Weight:  uint32(t.Weight),
			})
		}
		m.Routes = append(m.Routes, route)
	}
	for i := range p.Services {
		s := &p.Services[i]
		m.Services = append(m.Services, &Service{
			Name:        s.Name,
			Connections: uint32(s.MaxConnections),
			Warmup:      milliseconds(s.Warmup),
			Pace:        s.WarmupPerSecond,
		})
	}
	return m
}

func (x *Plan) decode() (*directory.Plan, error) {
	p := &directory.Plan{
		Version:     x.GetVersion(),
		IdleTimeout: duration(x.GetIdle()),
	}
	for _, r := range x.GetRoutes() {
		address, err := parseAddress(r.GetAddress())
		if err != nil || len(r.GetTargets()) == 0 {
			return nil, ErrDelta
		}
		route := directory.Route{
			Name:        r.GetName(),
			Address:     address,
			Idempotent:  r.GetIdempotent(),
			Timeout:     duration(r.GetTimeout()),
			LatencyGoal: duration(r.GetGoal()),
			Priority:    int(r.GetPriority()),
		}
		for _, t := range r.GetTargets() {
			route.Targets = append(route.Targets, directory.Target{
				Service: t.GetService(),
				Weight:  int(t.GetWeight()),
			})
		}
		p.Routes = append(p.Routes, route)
	}
	for _, s := range x.GetServices() {
		p.Services = append(p.Services, directory.Service{
			Name:            s.GetName(),
			MaxConnections:  int(s.GetConnections()),
			Warmup:          duration(s.GetWarmup()),
			WarmupPerSecond: s.GetPace(),
		})
	}
	return p, nil
}

// addressBytes returns the binary form of a, which is empty for the zero value.
func addressBytes(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		// MarshalBinary never fails.
		return nil
	}
	return b
}

func parseAddress(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if a.UnmarshalBinary(b) != nil || !a.IsValid() {
		return a, ErrDelta
	}
	return a, nil
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
