package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// newSharingFixture returns a balancer of a zone with 8 hosts that shares load, on routes with a
// latency goal.
func newSharingFixture(t *testing.T, s Sharing) *fixture {
	t.Helper()
	f := newFixture(t, 8)
	f.forwarder = New(f.now, "a", owner(true), WithSharing(s))
	p := plan(2, boardAddress)
	p.Routes[0].LatencyGoal = 300 * time.Millisecond
	p.Routes[0].Priority = 2
	f.set(directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: p,
	})
	return f
}

// digest applies a digest by which each of the zone's hosts has a number of requests in progress.
// The other zone has some free room, or is unknown if that is negative.
func (f *fixture) digest(sequence uint32, working, free float64) {
	d := &load.Digest{
		Origin:    7,
		Sequence:  sequence,
		Groups:    1,
		Balancers: 3,
	}
	for _, u := range f.view().InZone("a") {
		d.Totals = append(d.Totals, load.Total{
			Ticket:   u.Ticket(),
			Flows:    int(working),
			Working:  working,
			Capacity: 2,
			Answers:  40,
		})
	}
	if free >= 0 {
		d.Zones = append(d.Zones, load.ZoneTotal{
			Zone:     "b",
			Service:  "board",
			Capacity: 32,
			Working:  32 - free,
			Free:     free,
			At:       f.now,
		})
	}
	f.forwarder.ApplyDigest(f.now, d, 3)
}

// confirm acknowledges the answer of the flow's host, if it has one: hosts that answer no first
// packet count as silent.
func (c *client) confirm() {
	if c.host != nil {
		c.ack = 5000
		c.acknowledge()
	}
}

// TestDecisionsTellTheRoom guards against log lines on waits, rejections and flows to other zones
// that leave out what they rest on.
func TestDecisionsTellTheRoom(t *testing.T) {
	tests := []struct {
		name    string
		working float64
		free    float64
		reason  Reason
	}{
		{
			name:    "spilled",
			working: 40,
			free:    30,
			reason:  ReasonSpilled,
		},
		{
			name:    "waits",
			working: 40,
			free:    -1,
			reason:  ReasonWaiting,
		},
		{
			name:    "rejected",
			working: 40,
			free:    -1,
			reason:  ReasonNoRoom,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSharingFixture(t, Sharing{
				Spill: true,
				Admit: true,
			})
			f.digest(1, 0, tt.free)
			var found *Decision
			clients := make(map[netip.AddrPort]*client)
			for i := 0; i < 2000 && found == nil; i++ {
				if i%10 == 0 {
					f.digest(uint32(2+i), tt.working, tt.free)
				}
				f.advance(10 * time.Millisecond)
				c := f.client(boardAddress)
				clients[c.addr] = c
				if d := c.open(); d.Reason == tt.reason {
					found = &d
				}
				c.confirm()
				f.forwarder.Advance(f.now, f.view())
				released := f.forwarder.Released()
				for j := range released {
					d := &released[j].Decision
					if d.Reason == tt.reason {
						require.Positive(t, d.Waited)
						found = d
					}
					c := clients[released[j].Flow.Client]
					c.host = d.Upstream
					c.confirm()
				}
			}
			require.NotNil(t, found)
			require.Equal(t, "board", found.Service)
			r := found.Room
			require.True(t, r.Known)
			require.Equal(t, 2, r.Priority)
			require.InDelta(t, 8*2, r.Capacity, 0.01)
			require.Positive(t, r.Working)
			require.GreaterOrEqual(t, r.Limit, r.Capacity)
			require.Greater(t, r.Share, 0.0)
			require.Less(t, r.Share, 1.0)
			require.Positive(t, r.Age)
			require.LessOrEqual(t, r.Age, 200*time.Millisecond)
			if tt.reason == ReasonSpilled {
				require.Equal(t, "b", found.Upstream.Zone)
			}
		})
	}
}

// TestRoomIsToldOnlyIfShort guards against fields on room in the log lines of quiet days.
func TestRoomIsToldOnlyIfShort(t *testing.T) {
	f := newSharingFixture(t, Sharing{
		Spill: true,
		Admit: true,
	})
	f.digest(1, 0, 30)
	for range 50 {
		f.advance(10 * time.Millisecond)
		c := f.client(boardAddress)
		d := c.open()
		c.confirm()
		require.Equal(t, ReasonPlaced, d.Reason)
		require.Zero(t, d.Room)
	}
}

// TestCopyOfAWaitingPacketTellsTheRoom guards against a copy whose line tells neither the service
// nor the room.
func TestCopyOfAWaitingPacketTellsTheRoom(t *testing.T) {
	f := newSharingFixture(t, Sharing{Admit: true})
	f.digest(1, 0, -1)
	for i := range 2000 {
		if i%10 == 0 {
			f.digest(uint32(2+i), 40, -1)
		}
		f.advance(10 * time.Millisecond)
		c := f.client(boardAddress)
		if c.open().Reason != ReasonWaiting {
			c.confirm()
			continue
		}
		d := c.open()
		require.Equal(t, ReasonWaiting, d.Reason)
		require.Equal(t, "board", d.Service)
		require.True(t, d.Room.Known)
		return
	}
	require.Fail(t, "no first packet waited")
}

func TestRooms(t *testing.T) {
	f := newSharingFixture(t, Sharing{Spill: true})
	require.Empty(t, f.forwarder.Rooms(f.now, f.view()))
	f.digest(1, 1, 30)
	f.client(boardAddress).establish()
	f.advance(100*time.Millisecond - roundTrip)
	rooms := f.forwarder.Rooms(f.now, f.view())
	require.Len(t, rooms, 2)
	require.True(t, f.forwarder.LoadKnown(f.now))
	for i, want := range []ZoneRoom{
		{
			Zone:     "a",
			Working:  8,
			Capacity: 16,
			Share:    1,
		},
		{
			Zone:     "b",
			Working:  2,
			Capacity: 32,
			Free:     30,
		},
	} {
		r := rooms[i]
		require.Equal(t, "board", r.Service)
		require.Equal(t, want.Zone, r.Zone)
		require.True(t, r.Known)
		require.InDelta(t, want.Capacity, r.Capacity, 0.01)
		require.InDelta(t, want.Share, r.Share, 0.01)
		require.Equal(t, 100*time.Millisecond, r.Age)
	}
	require.InDelta(t, 8, rooms[0].Working, 0.01)
	require.InDelta(t, 30, rooms[1].Free, 0.01)
	f.advance(3 * time.Second)
	require.False(t, f.forwarder.LoadKnown(f.now))
	require.Empty(t, f.forwarder.Rooms(f.now, f.view()))
}

// TestUnknownZoneHasNoNumbers guards against a zone whose load nobody told of looking like one
// that is idle or full.
func TestUnknownZoneHasNoNumbers(t *testing.T) {
	f := newSharingFixture(t, Sharing{Spill: true})
	f.digest(1, 1, -1)
	f.client(boardAddress).open()
	rooms := f.forwarder.Rooms(f.now, f.view())
	require.Len(t, rooms, 2)
	require.Equal(t, ZoneRoom{
		Service: "board",
		Zone:    "b",
	}, rooms[1])
}

func TestUpstreamLoads(t *testing.T) {
	f := newSharingFixture(t, Sharing{Learn: true})
	f.digest(1, 3, -1)
	f.advance(50 * time.Millisecond)
	loads := f.forwarder.UpstreamLoads(f.now, f.view())
	require.Len(t, loads, 8)
	for i := range loads {
		l := &loads[i]
		require.Equal(t, "a", l.Upstream.Zone)
		require.InDelta(t, 2, l.Capacity, 0.01)
		require.InDelta(t, 3, l.Working, 0.01)
		require.Equal(t, 40, l.Answers)
		require.True(t, l.Known)
		require.Equal(t, 50*time.Millisecond, l.Age)
	}
	f.advance(3 * time.Second)
	for _, l := range f.forwarder.UpstreamLoads(f.now, f.view()) {
		require.False(t, l.Known)
	}
	// A first packet without an answer has the host avoided.
	u := f.client(boardAddress).open().Upstream
	f.advance(lateOpeningAfter)
	for _, l := range f.forwarder.UpstreamLoads(f.now, f.view()) {
		require.Equal(t, l.Upstream == u, l.Avoided)
	}
	off := newFixture(t, 1)
	require.Empty(t, off.forwarder.UpstreamLoads(off.now, off.view()))
}
