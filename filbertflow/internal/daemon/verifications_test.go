package daemon

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// TestRotationChange checks which changes of the membership let flows move, which let them move later
// without a sign, and which lose what was known of them.
func TestRotationChange(t *testing.T) {
	now := time.Now()
	base := func() []member.Member {
		return []member.Member{
			{
				Name:        "lb-1",
				Zone:        "a",
				Incarnation: 1,
			},
			{
				Name:        "lb-2",
				Zone:        "a",
				Incarnation: 2,
			},
			{
				Name:        "lb-3",
				Zone:        "b",
				Incarnation: 3,
			},
			{
				Name:        "lb-4",
				Zone:        "a",
				Incarnation: 4,
				Suspected:   true,
			},
			{
				Name:        "lb-6",
				Zone:        "a",
				Incarnation: 6,
				Joining:     true,
			},
		}
	}
	for _, test := range []struct {
		name   string
		change func(m []member.Member) []member.Member
		want   flow.RotationChange
		none   bool
	}{
		{
			name:   "none",
			change: func(m []member.Member) []member.Member { return m },
			none:   true,
		},
		{
			name: "of another zone",
			change: func(m []member.Member) []member.Member {
				m[2].State = member.Dead
				return m
			},
			none: true,
		},
		{
			name: "a balancer leaves",
			change: func(m []member.Member) []member.Member {
				m[1].State = member.Leaving
				return m
			},
		},
		{
			name: "a balancer is suspected",
			change: func(m []member.Member) []member.Member {
				m[1].Suspected = true
				return m
			},
		},
		{
			name: "a balancer is suspected no more",
			change: func(m []member.Member) []member.Member {
				m[3].Suspected = false
				return m
			},
			want: flow.RotationChange{Arrived: true},
		},
		{
			name: "a balancer starts",
			change: func(m []member.Member) []member.Member {
				return append(m, member.Member{
					Name:        "lb-5",
					Zone:        "a",
					Incarnation: 5,
					Joining:     true,
				})
			},
			want: flow.RotationChange{Arrived: true},
		},
		{
			name: "a balancer has started long enough ago",
			change: func(m []member.Member) []member.Member {
				m[4].Joining = false
				return m
			},
			want: flow.RotationChange{Arrived: true},
		},
		{
			name: "a suspected balancer is dead",
			change: func(m []member.Member) []member.Member {
				m[3].State, m[3].Suspected = member.Dead, false
				return m
			},
			want: flow.RotationChange{LostAt: now.Add(-member.SuspicionTimeout)},
		},
		{
			name: "a balancer has started again",
			change: func(m []member.Member) []member.Member {
				m[1].Incarnation = 9
				return m
			},
			want: flow.RotationChange{
				Arrived: true,
				LostAt:  now,
			},
		},
		{
			name: "a balancer has started again, and its old incarnation is dead",
			change: func(m []member.Member) []member.Member {
				next := m[1]
				next.Incarnation = 9
				m[1].State = member.Dead
				return append(m, next)
			},
			want: flow.RotationChange{
				Arrived: true,
				LostAt:  now,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, ok := rotationChange(now, member.NewTable(base()), member.NewTable(test.change(base())), "a")
			require.Equal(t, !test.none, ok)
			require.Equal(t, test.want, c)
		})
	}
}

// TestVerificationEnds checks that a verification ends once all balancers of the zone that are not
// suspected have answered, with all that they know, or after openVerificationLifetime.
func TestVerificationEnds(t *testing.T) {
	d := newDaemon(t)
	s, now := d.syncer, time.Now()
	var peers []*net.UDPConn
	for i := range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		peers = append(peers, c)
		address := c.LocalAddr().(*net.UDPAddr).AddrPort()
		s.tracker.MergeFullState(now, []member.Record{{
			Name:        "lb-" + string(rune('2'+i)),
			Zone:        "a",
			Incarnation: uint64(i + 2),
			State:       member.Alive,
			Suspected:   i == 2,
			Relay:       address,
			Control:     address,
		}})
	}
	address := func(i int) netip.AddrPort { return peers[i].LocalAddr().(*net.UDPAddr).AddrPort() }
	v := flow.Verification{
		ID: 7,
		Flows: []flow.Position{{
			Client:       netip.MustParseAddrPort("100.64.0.1:1000"),
			Service:      netip.MustParseAddrPort("198.18.0.1:443"),
			Ticket:       9,
			Acknowledged: 5,
		}},
	}
	ended := func() int {
		notices, _ := d.peerNotices.drain()
		return len(notices)
	}
	s.sendVerification(now, &v)
	buffer := make([]byte, 2000)
	for _, c := range peers[:2] {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, err := c.Read(buffer)
		require.NoError(t, err)
		received, err := wire.ParseVerification(buffer[:n])
		require.NoError(t, err)
		require.Equal(t, v, received)
	}
	require.NotContains(t, s.verifications[7].missing, address(2))
	require.Zero(t, ended())
	s.handleDatagram(t.Context(), now, address(0), wire.AppendVerificationAnswer(nil, 7, 1))
	s.handleDatagram(t.Context(), now, address(0), wire.AppendVerificationAnswer(nil, 7, 0))
	require.Zero(t, ended(), "an answer counts once")
	require.Equal(t, flow.Later(1), s.verifications[7].later)
	s.handleDatagram(t.Context(), now, address(1), wire.AppendVerificationAnswer(nil, 7, 0))
	require.Equal(t, 1, ended())
	require.Empty(t, s.verifications)

	s.sendVerification(now, &v)
	s.handleDatagram(t.Context(), now, address(0), wire.AppendVerificationAnswer(nil, 7, 0))
	s.expireVerifications(now.Add(openVerificationLifetime))
	require.Equal(t, 1, ended(), "it ends without the answer")
	s.handleDatagram(t.Context(), now, address(1), wire.AppendVerificationAnswer(nil, 7, 0))
	require.Zero(t, ended())
}
