package daemon

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/status"
)

// upstreamLoadInterval is the time between two records of the upstreams' loads. Each record visits
// all upstreams of the zone on the packet handler's goroutine.
const upstreamLoadInterval = time.Second

// minGivenShare is the share of new flows from which on a zone that gives them away is logged.
const minGivenShare = 0.01

// pathLoad is the pattern of the endpoint that serves a status.Load.
const pathLoad = "GET " + status.PathLoad

// A loadView is what the packet handler's forwarder knows of the shared load. It is not changed
// once it is published.
type loadView struct {
	at    time.Time
	known bool
	rooms []flow.ZoneRoom
	// upstreams were recorded at upstreamsAt.
	upstreams   []flow.UpstreamLoad
	upstreamsAt time.Time
}

// recordLoad publishes what is known of the load for metrics and operators, and logs zones that
// begin or end to get the own zone's new flows.
func (t *packetHandler) recordLoad(now time.Time) {
	d, v := t.daemon, t.view()
	next := &loadView{
		at:    now,
		known: t.forwarder.LoadKnown(now),
		rooms: t.forwarder.Rooms(now, v),
	}
	if last := d.load.Load(); last != nil && now.Sub(last.upstreamsAt) < upstreamLoadInterval {
		next.upstreams, next.upstreamsAt = last.upstreams, last.upstreamsAt
	} else if d.options.Metrics.IsValid() {
		next.upstreams, next.upstreamsAt = t.forwarder.UpstreamLoads(now, v), now
	}
	t.logGiving(now, next)
	d.counters.waiting.Store(int64(t.forwarder.Waiting()))
	d.load.Store(next)
}

// A giving names a service and another zone that gets some of the own zone's new flows.
type giving struct {
	service, zone string
}

// logGiving logs the zones that begin or end to get the own zone's new flows.
func (t *packetHandler) logGiving(now time.Time, l *loadView) {
	log := t.daemon.log
	own := make(map[string]*flow.ZoneRoom)
	for i := range l.rooms {
		if r := &l.rooms[i]; r.Zone == t.daemon.options.Zone {
			own[r.Service] = r
		}
	}
	current := make(map[giving]bool)
	for i := range l.rooms {
		r := &l.rooms[i]
		o := own[r.Service]
		if o == nil || r == o || r.Share < minGivenShare {
			continue
		}
		g := giving{
			service: r.Service,
			zone:    r.Zone,
		}
		current[g] = true
		if !t.giving[g] {
			log.Info(now, "zone: gives new flows to another zone", logs.F("service", r.Service), logs.F("zone", o.Zone), logs.F("to_zone", r.Zone),
				logs.F("share", round(r.Share)), logs.F("working", round(r.Working)), logs.F("capacity", round(r.Capacity)),
				logs.F("free", round(r.Free)), logs.F("load_age_ms", r.Age.Milliseconds()),
				logs.F("own_working", round(o.Working)), logs.F("own_capacity", round(o.Capacity)),
				logs.F("own_load_age_ms", o.Age.Milliseconds()))
		}
	}
	for g := range t.giving {
		if current[g] {
			continue
		}
		fields := []logs.Field{logs.F("service", g.service), logs.F("zone", t.daemon.options.Zone), logs.F("to_zone", g.zone), logs.F("known", l.known)}
		if o := own[g.service]; o != nil {
			fields = append(fields, logs.F("own_working", round(o.Working)), logs.F("own_capacity", round(o.Capacity)))
		}
		log.Info(now, "zone: gives no new flows any more", fields...)
	}
	t.giving = current
}

// serveLoad serves a status.Load.
func (d *Daemon) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have gone.
	_ = json.NewEncoder(w).Encode(d.loadStatus(time.Now()))
}

// loadStatus returns what is known of the load.
func (d *Daemon) loadStatus(now time.Time) *status.Load {
	s := &status.Load{
		Balancer:  d.options.Name,
		Zone:      d.options.Zone,
		Shared:    d.options.Load.Share,
		Waiting:   int(d.counters.waiting.Load()),
		Services:  []status.ServiceLoad{},
		Upstreams: []status.UpstreamLoad{},
	}
	l := d.load.Load()
	if l == nil {
		return s
	}
	s.Known = l.known
	s.Age = roundedAge(now.Sub(l.at))
	for i := range l.rooms {
		r := &l.rooms[i]
		z := status.ServiceLoad{
			Service:  r.Service,
			Zone:     r.Zone,
			Known:    r.Known,
			Working:  round(r.Working),
			Capacity: round(r.Capacity),
			Free:     round(r.Free),
			Share:    round(r.Share),
		}
		if r.Known {
			z.Age = roundedAge(r.Age + now.Sub(l.at))
		}
		s.Services = append(s.Services, z)
	}
	for i := range l.upstreams {
		u := &l.upstreams[i]
		v := status.UpstreamLoad{
			Name:     u.Upstream.ID,
			Service:  u.Upstream.Service,
			Known:    u.Known,
			Slots:    u.Upstream.Slots,
			Capacity: round(learnedCapacity(u)),
			Answers:  u.Answers,
			Flows:    round(u.Flows),
			Working:  round(u.Working),
			Avoided:  u.Avoided,
		}
		if u.Known {
			v.Age = roundedAge(u.Age + now.Sub(l.upstreamsAt))
		}
		s.Upstreams = append(s.Upstreams, v)
	}
	slices.SortFunc(s.Upstreams, func(a, b status.UpstreamLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return s
}

// roundedAge returns an age in whole milliseconds.
func roundedAge(age time.Duration) config.Duration {
	return config.Duration(max(age, 0).Round(time.Millisecond))
}

// learnedCapacity returns the number of slots' worth of work that an upstream takes.
func learnedCapacity(u *flow.UpstreamLoad) float64 {
	if u.Capacity > 0 {
		return u.Capacity
	}
	return float64(u.Upstream.Slots)
}
