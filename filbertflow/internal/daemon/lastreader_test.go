package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// TestLastOfZoneReadsTheStore guards against a configuration that comes late because a zone loses all
// balancers that may read the store: the others waited until enough of them were declared dead.
func TestLastOfZoneReadsTheStore(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is the number of the other balancers, in the order of reading, that are lost; the
		// rest still answer.
		lost  int
		reads bool
	}{
		{name: "no loss"},
		{
			name: "some candidates",
			lost: readerPolicy.MaxReaders - 1,
		},
		{
			name:  "all candidates",
			lost:  readerPolicy.MaxReaders,
			reads: true,
		},
		{
			name:  "all others",
			lost:  6,
			reads: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t, func(o *Options) { o.Name = lastOfOrder })
			s, now := d.syncer, time.Now()
			s.applyStoreDelta(now, listingOf(1, 5, planItem(1, 5)))
			others := make(map[uint64]*endpoint)
			for i := range uint64(6) {
				others[1+i] = newEndpoint(t)
				addPeer(t, d, others[1+i], "a", 1+i)
			}
			order := s.tracker.Table().Ranked(readerKey, "a", len(others)+1)
			require.Equal(t, lastOfOrder, order[len(others)].Name)
			answering := order[test.lost:len(others)]
			var since time.Duration
			for at := tick; at < member.SuspectAfter+member.SuspicionTimeout; at += tick {
				for i := range answering {
					if m := &answering[i]; others[m.Incarnation].probed() {
						s.tracker.HandleHeartbeat(now.Add(at), m.Relay, aliveHeartbeat(m))
					}
				}
				s.tracker.PlatformAnswered(now.Add(at))
				s.tick(t.Context(), now.Add(at))
				if s.isReader && since == 0 {
					since = at
				}
			}
			require.Equal(t, test.reads, s.isReader)
			require.LessOrEqual(t, since, candidateSilence+candidateProbeTimeout+2*tick)
			if test.reads {
				back := order[0]
				heartbeat := aliveHeartbeat(&back)
				heartbeat.Sender.Sequence++
				for at := 3 * time.Second; at < 8*time.Second; at += tick {
					s.tracker.HandleHeartbeat(now.Add(at), back.Relay, heartbeat)
					s.tracker.PlatformAnswered(now.Add(at))
					s.tick(t.Context(), now.Add(at))
					require.False(t, s.isReader, "a candidate is back")
				}
				others[back.Incarnation].probed()
				s.tick(t.Context(), now.Add(8*time.Second))
				s.tick(t.Context(), now.Add(8*time.Second+candidateProbeInterval))
				require.False(t, others[back.Incarnation].probed(), "the lost ones are dead")
			}
		})
	}
}

// lastOfOrder is the name of a balancer that reads the store after those of addPeer.
const lastOfOrder = "lb-4"

// readerKey is the key of the order in which a zone's balancers read the store.
const readerKey = 0x726561646572

// aliveHeartbeat returns a heartbeat of a member.
func aliveHeartbeat(m *member.Member) *member.Heartbeat {
	return &member.Heartbeat{Sender: member.Record{
		Name:        m.Name,
		Zone:        m.Zone,
		Incarnation: m.Incarnation,
		Sequence:    1,
		Relay:       m.Relay,
		Control:     m.Control,
		Admin:       m.Admin,
	}}
}

// probed reports whether a probe has arrived since the last call.
func (e *endpoint) probed() bool {
	e.t.Helper()
	require.NoError(e.t, e.conn.SetReadDeadline(time.Now().Add(2*time.Millisecond)))
	buffer := make([]byte, maxDatagramSize)
	probed := false
	for {
		n, err := e.conn.Read(buffer)
		if err != nil {
			return probed
		}
		var h member.Heartbeat
		probed = probed || wire.ParseHeartbeat(buffer[:n], &h) == nil && h.Probe != 0
	}
}
