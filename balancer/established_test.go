package balancer_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// established is the number of flows of the benchmarks.
const established = 500_000

// A discard is an outlet that sends nothing and keeps one ticket and token.
type discard struct {
	token    packet.Token
	upstream uint32
	ticket   []byte
}

func (d *discard) Cancel(*keeper.Cancel) {}

func (d *discard) Deliver(x *keeper.Delivery, _ []byte) {
	if len(x.Ticket) > 0 && d.ticket != nil {
		copy(d.ticket, x.Ticket)
	}
}

func (d *discard) Drop(*packet.Header, verdict.Reason) {}

func (d *discard) Forward(f *keeper.Forward, _ []byte) {
	d.token = f.Token
	d.upstream = f.Upstream
}

func (d *discard) Refuse(*packet.Header, *keeper.Refusal) {}

func (d *discard) Relay(*member.Member, *wire.Relay, []byte) {}

func (d *discard) RecordDecision(*balancer.Decision) {}

// A crowd is one balancer with established flows.
type crowd struct {
	balancer *balancer.Balancer
	outlet   *discard
	now      time.Time
	// empty is the size of the heap before the balancer was made.
	empty uint64
	// tokens, upstreams and tickets are those of the flows.
	tokens    []packet.Token
	upstreams []uint32
	tickets   []byte
}

func (c *crowd) header(i int) packet.Header {
	h := packet.Header{
		Service:     calendar,
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5000),
		Kind:        packet.KindWatchOpen,
		Message:     uint16(i),
		Confirmable: true,
		Digest:      1,
	}
	h.Token.Size = 8
	binary.BigEndian.PutUint64(h.Token.Bytes[:], uint64(i)*0x9e3779b97f4a7c15)
	return h
}

// newCrowd returns a balancer without flows, and room for them.
func newCrowd(b *testing.B) *crowd {
	s := newFlowSystem(b, 1, 0)
	c := &crowd{
		outlet:    &discard{},
		now:       s.now,
		tokens:    make([]packet.Token, established),
		upstreams: make([]uint32, established),
		tickets:   make([]byte, established*ticket.Size),
	}
	c.empty = heapSize()
	c.balancer = balancer.New(balancer.Options{
		Name:        "b1",
		Zone:        "a",
		Incarnation: 1,
		Start:       s.now,
		Limits: keeper.Limits{
			Exchanges: established,
			Entries:   1000,
		},
		Rand:      s.random,
		Transport: c.outlet,
	})
	c.balancer.Configure(s.now, s.current)
	c.balancer.SetMembers(member.NewTable([]member.Member{{
		Name:        "b1",
		Zone:        "a",
		Incarnation: 1,
	}}), true)
	return c
}

// open opens all flows.
func (c *crowd) open(b *testing.B) {
	datagram := []byte("register")
	for i := range established {
		h := c.header(i)
		c.balancer.HandleCaller(c.now, &h, datagram)
		c.tokens[i] = c.outlet.token
		c.upstreams[i] = c.outlet.upstream
		c.outlet.ticket = c.tickets[i*ticket.Size : (i+1)*ticket.Size]
		c.answer(i, true)
	}
	c.outlet.ticket = nil
	require.Equal(b, established, c.balancer.Keeper().Exchanges())
}

func (c *crowd) answer(i int, acknowledged bool) bool {
	return c.balancer.HandleUpstreamMessage(c.now, c.upstreams[i], &keeper.UpstreamMessage{
		Token:        c.tokens[i],
		Observed:     true,
		Acknowledged: acknowledged,
	}, nil)
}

// BenchmarkFlowState reports the heap that an open flow takes.
func BenchmarkFlowState(b *testing.B) {
	for b.Loop() {
		c := newCrowd(b)
		c.open(b)
		b.ReportMetric(float64(heapSize()-c.empty)/established, "bytes/flow")
		runtime.KeepAlive(c)
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEstablished measures the decision on a datagram of one of many
// flows, beside the bare look-up of its key in a map.
func BenchmarkEstablished(b *testing.B) {
	c := newCrowd(b)
	c.open(b)
	order := rand.New(rand.NewPCG(1, 1)).Perm(established)
	b.Run("notification", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			if !c.answer(order[n%established], false) {
				b.Fatal("unknown flow")
			}
		}
	})
	b.Run("refresh", func(b *testing.B) {
		b.ReportAllocs()
		datagram := []byte("register")
		var h packet.Header
		for n := 0; b.Loop(); n++ {
			i := order[n%established]
			h = c.header(i)
			h.Ticket = c.tickets[i*ticket.Size : (i+1)*ticket.Size]
			c.balancer.HandleCaller(c.now, &h, datagram)
		}
	})
	require.Equal(b, established, c.balancer.Keeper().Exchanges())
	b.Run("map", func(b *testing.B) {
		type key struct {
			caller netip.AddrPort
			token  packet.Token
		}
		m := make(map[key]uint32, established)
		for i := range established {
			h := c.header(i)
			m[key{caller: h.Caller, token: h.Token}] = uint32(i)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for n := 0; b.Loop(); n++ {
			h := c.header(order[n%established])
			if _, ok := m[key{caller: h.Caller, token: h.Token}]; !ok {
				b.Fatal("unknown key")
			}
		}
	})
}
