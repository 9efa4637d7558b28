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

// benchFlows is the number of flows of the benchmarks.
const benchFlows = 500_000

// A discardTransport sends nothing and keeps the token, upstream and ticket of
// the last messages.
type discardTransport struct {
	token    packet.Token
	upstream uint32
	ticket   []byte
}

func (d *discardTransport) Cancel(*keeper.Cancel) {}

func (d *discardTransport) Deliver(x *keeper.Delivery, _ []byte) {
	if len(x.Ticket) > 0 && d.ticket != nil {
		copy(d.ticket, x.Ticket)
	}
}

func (d *discardTransport) Drop(*packet.Header, verdict.Reason) {}

func (d *discardTransport) Forward(f *keeper.Forward, _ []byte) {
	d.token = f.Token
	d.upstream = f.Upstream
}

func (d *discardTransport) Refuse(*packet.Header, *keeper.Refusal) {}

func (d *discardTransport) Relay(*member.Member, *wire.Relay, []byte) {}

func (d *discardTransport) RecordDecision(*balancer.Decision) {}

// A flowBench is one balancer with established flows.
type flowBench struct {
	balancer  *balancer.Balancer
	transport *discardTransport
	now       time.Time
	// emptyHeap is the heap size before the balancer was created, in bytes.
	emptyHeap uint64
	// tokens, upstreams and tickets are those of the flows, by flow.
	tokens    []packet.Token
	upstreams []uint32
	tickets   []byte
}

func (f *flowBench) header(i int) packet.Header {
	h := packet.Header{
		Service:     calendar,
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5000),
		Kind:        packet.KindWatchOpen,
		MessageID:   uint16(i),
		Confirmable: true,
		Digest:      1,
	}
	h.Token.Size = 8
	binary.BigEndian.PutUint64(h.Token.Bytes[:], uint64(i)*0x9e3779b97f4a7c15)
	return h
}

// newFlowBench returns a balancer without flows, with capacity for them.
func newFlowBench(b *testing.B) *flowBench {
	s := newFlowSimulation(b, 1, 0)
	f := &flowBench{
		transport: &discardTransport{},
		now:       s.now,
		tokens:    make([]packet.Token, benchFlows),
		upstreams: make([]uint32, benchFlows),
		tickets:   make([]byte, benchFlows*ticket.Size),
	}
	f.emptyHeap = heapSize()
	f.balancer = balancer.New(balancer.Options{
		Name:        "b1",
		Zone:        "a",
		Incarnation: 1,
		Start:       s.now,
		Limits: keeper.Limits{
			Exchanges:     benchFlows,
			LedgerEntries: 1000,
		},
		Rand:      s.random,
		Transport: f.transport,
	})
	f.balancer.Configure(s.now, s.current)
	f.balancer.SetMembers(member.NewTable([]member.Member{{
		Name:        "b1",
		Zone:        "a",
		Incarnation: 1,
	}}), true)
	return f
}

// open opens all flows.
func (f *flowBench) open(b *testing.B) {
	datagram := []byte("register")
	for i := range benchFlows {
		h := f.header(i)
		f.balancer.HandleCaller(f.now, &h, datagram)
		f.tokens[i] = f.transport.token
		f.upstreams[i] = f.transport.upstream
		f.transport.ticket = f.tickets[i*ticket.Size : (i+1)*ticket.Size]
		f.answer(i, true)
	}
	f.transport.ticket = nil
	require.Equal(b, benchFlows, f.balancer.Keeper().Exchanges())
}

func (f *flowBench) answer(i int, acknowledged bool) bool {
	return f.balancer.HandleUpstreamMessage(f.now, f.upstreams[i], &keeper.UpstreamMessage{
		Token:        f.tokens[i],
		Observed:     true,
		Acknowledged: acknowledged,
	}, nil)
}

// BenchmarkFlowState reports the heap size per open flow.
func BenchmarkFlowState(b *testing.B) {
	for b.Loop() {
		f := newFlowBench(b)
		f.open(b)
		b.ReportMetric(float64(heapSize()-f.emptyHeap)/benchFlows, "bytes/flow")
		runtime.KeepAlive(f)
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEstablished measures the decision on a datagram of one of many
// flows, compared with a plain map look-up of the flow's key.
func BenchmarkEstablished(b *testing.B) {
	f := newFlowBench(b)
	f.open(b)
	order := rand.New(rand.NewPCG(1, 1)).Perm(benchFlows)
	b.Run("notification", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			if !f.answer(order[n%benchFlows], false) {
				b.Fatal("unknown flow")
			}
		}
	})
	b.Run("refresh", func(b *testing.B) {
		b.ReportAllocs()
		datagram := []byte("register")
		var h packet.Header
		for n := 0; b.Loop(); n++ {
			i := order[n%benchFlows]
			h = f.header(i)
			h.Ticket = f.tickets[i*ticket.Size : (i+1)*ticket.Size]
			f.balancer.HandleCaller(f.now, &h, datagram)
		}
	})
	require.Equal(b, benchFlows, f.balancer.Keeper().Exchanges())
	b.Run("map", func(b *testing.B) {
		type key struct {
			caller netip.AddrPort
			token  packet.Token
		}
		m := make(map[key]uint32, benchFlows)
		for i := range benchFlows {
			h := f.header(i)
			m[key{caller: h.Caller, token: h.Token}] = uint32(i)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for n := 0; b.Loop(); n++ {
			h := f.header(order[n%benchFlows])
			if _, ok := m[key{caller: h.Caller, token: h.Token}]; !ok {
				b.Fatal("unknown key")
			}
		}
	})
}
