package config

import (
	"fmt"
	"net/netip"
	"time"

	"pgregory.net/rapid"
)

// sampleDocument returns a document that passes its check.
func sampleDocument() *Document {
	return &Document{
		Keys: []Key{
			{
				ID:     1,
				Secret: []byte("0123456789abcdef"),
			},
		},
		Zones: []Zone{
			{
				Name:   "merano",
				Region: "alto-adige",
				State:  ZoneIn,
			},
			{
				Name:   "bolzano",
				Region: "alto-adige",
				State:  ZoneOut,
			},
		},
		Services: []Service{
			{
				ID:       1,
				Name:     "bacheca",
				Address:  netip.MustParseAddrPort("127.0.2.1:5683"),
				Deadline: Duration(2 * time.Second),
				Refresh:  Duration(30 * time.Second),
				Upstreams: []Upstream{
					sampleUpstream(1, "merano"),
					sampleUpstream(2, "bolzano"),
				},
			},
		},
	}
}

// sampleUpstream returns an upstream whose name and address follow from its id.
func sampleUpstream(id uint32, zone string) Upstream {
	return Upstream{
		ID:          id,
		Name:        fmt.Sprintf("upstream-%d", id),
		Zone:        zone,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(id)}), 5683),
		Share:       1,
		Slots:       2,
		Connections: 2000,
		State:       UpstreamActive,
	}
}

// drawDocument draws a document that passes its check. Ids and names are drawn
// from small ranges, so that two documents have some in common.
func drawDocument(t *rapid.T) *Document {
	d := &Document{
		Keys: drawKeys(t),
	}
	for _, id := range drawIDs(t, "zones", 1, 4) {
		d.Zones = append(d.Zones, drawZone(t, id))
	}
	used := make(map[uint32]bool)
	for _, id := range drawIDs(t, "services", 0, 3) {
		d.Services = append(d.Services, drawService(t, d.Zones, id, used))
	}
	return d
}

func drawIDs(t *rapid.T, label string, low, high int) []uint32 {
	return rapid.SliceOfNDistinct(rapid.Uint32Range(1, 6), low, high, rapid.ID[uint32]).Draw(t, label)
}

func drawKeys(t *rapid.T) []Key {
	var keys []Key
	for _, id := range drawIDs(t, "keys", 1, MaxKeys) {
		keys = append(keys, Key{
			ID:     uint8(id),
			Secret: rapid.SliceOfN(rapid.Byte(), MinSecretSize, MinSecretSize+1).Draw(t, "secret"),
		})
	}
	return keys
}

func drawService(t *rapid.T, zones []Zone, id uint32, used map[uint32]bool) Service {
	s := Service{
		ID:       id,
		Name:     fmt.Sprintf("service-%d", id),
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(id)}), 5683),
		Deadline: Duration(rapid.Int64Range(int64(MinDeadline), int64(MaxDeadline)).Draw(t, "deadline")),
		Refresh:  Duration(MinRefresh),
	}
	for _, id := range drawIDs(t, "upstreams", 0, 4) {
		if used[id] {
			continue
		}
		used[id] = true
		u := sampleUpstream(id, rapid.SampledFrom(zones).Draw(t, "zone").Name)
		u.Slots = rapid.Uint32Range(1, 3).Draw(t, "slots")
		u.State = rapid.SampledFrom([]UpstreamState{UpstreamActive, UpstreamDraining}).Draw(t, "state")
		s.Upstreams = append(s.Upstreams, u)
	}
	return s
}

func drawZone(t *rapid.T, id uint32) Zone {
	return Zone{
		Name:   fmt.Sprintf("zone-%d", id),
		Region: "alto-adige",
		State:  rapid.SampledFrom([]ZoneState{ZoneIn, ZoneOut}).Draw(t, "state"),
	}
}

// drawOperation draws an operation, which may be invalid.
func drawOperation(t *rapid.T) Operation {
	id := rapid.Uint32Range(1, 6).Draw(t, "id")
	service := fmt.Sprintf("service-%d", rapid.Uint32Range(1, 6).Draw(t, "service"))
	zones := []Zone{drawZone(t, id)}
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0:
		return Operation{PutKeys: &PutKeys{Keys: drawKeys(t)}}
	case 1:
		return Operation{PutZone: &zones[0]}
	case 2:
		return Operation{RemoveZone: &RemoveZone{Name: zones[0].Name}}
	case 3:
		s := drawService(t, zones, id, make(map[uint32]bool))
		return Operation{PutService: &s}
	case 4:
		return Operation{RemoveService: &RemoveService{Name: service}}
	case 5:
		u := sampleUpstream(id, zones[0].Name)
		u.Share = rapid.Uint32Range(0, 2).Draw(t, "share")
		return Operation{
			PutUpstream: &PutUpstream{
				Service:  service,
				Upstream: u,
			},
		}
	case 6:
		return Operation{
			RemoveUpstream: &RemoveUpstream{
				Service: service,
				Name:    fmt.Sprintf("upstream-%d", id),
			},
		}
	default:
		return Operation{}
	}
}
