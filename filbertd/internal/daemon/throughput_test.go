package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
)

// window is the number of outstanding requests in a benchmark.
const window = 64

// BenchmarkThroughput compares the request rate of one daemon with that of a
// plain datagram relay in the same run. Both receive two datagrams and send two
// for each answered request.
func BenchmarkThroughput(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		upstream := echoUpstream(b)
		measure(b, bareRelay(b, upstream))
	})
	b.Run("daemon", func(b *testing.B) {
		upstream := echoUpstream(b)
		measure(b, startDaemon(b, upstream))
	})
}

// measure sends b.N requests to an address, with up to window of them
// outstanding, and reports their rate and the fractions lost and refused.
func measure(b *testing.B, to netip.AddrPort) {
	b.Helper()
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(b, err)
	defer func() { _ = socket.Close() }()
	answer := make([]byte, bufferSize)
	send := func(i int) {
		_, err := socket.Write(request(b, i))
		require.NoError(b, err)
	}
	// The first answer shows that all parts are running.
	for {
		send(0)
		require.NoError(b, socket.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		if n, err := socket.Read(answer); err == nil && codes.Code(answer[1]) == codes.Content && n > 0 {
			break
		}
	}
	requests := make([][]byte, window)
	for i := range requests {
		requests[i] = request(b, i+1)
	}
	lost, refused := 0, 0
	b.ResetTimer()
	outstanding := 0
	for i := 0; i < b.N; {
		for outstanding < window && i < b.N {
			_, _ = socket.Write(requests[i%window])
			outstanding++
			i++
		}
		_ = socket.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := socket.Read(answer); err != nil {
			lost += outstanding
			outstanding = 0
			continue
		}
		if codes.Code(answer[1]) != codes.Content {
			refused++
		}
		outstanding--
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(lost)/float64(b.N), "lost/request")
	b.ReportMetric(float64(refused)/float64(b.N), "refused/request")
}

// request returns an encoded GET whose token and message ID are derived from i.
func request(b *testing.B, i int) []byte {
	b.Helper()
	m := message.Message{
		Type:      message.Confirmable,
		Code:      codes.GET,
		MessageID: int32(i),
		Token:     message.Token{byte(i >> 8), byte(i), 1, 2, 3, 4, 5, 6},
		Options: message.Options{{
			ID:    message.URIPath,
			Value: []byte("photos"),
		}},
	}
	buf := make([]byte, 64)
	n, err := coder.DefaultCoder.Encode(m, buf)
	require.NoError(b, err)
	return buf[:n]
}

// echoUpstream answers every request with 2.05 and returns its address.
func echoUpstream(b *testing.B) netip.AddrPort {
	b.Helper()
	socket := listen(b)
	go func() {
		buf := make([]byte, bufferSize)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			// The answer consists of the request's header and token without its
			// options.
			size := min(n, 4+int(buf[0]&0xf))
			buf[0] = buf[0]&^0x30 | byte(message.Acknowledgement)<<4
			buf[1] = byte(codes.Content)
			_, _ = socket.WriteToUDPAddrPort(buf[:size], from)
		}
	}()
	return addressOf(socket)
}

// bareRelay starts a relay that passes datagrams to an upstream and answers to
// the first caller without parsing them, and returns its address.
func bareRelay(b *testing.B, upstream netip.AddrPort) netip.AddrPort {
	b.Helper()
	front := listen(b)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(upstream))
	require.NoError(b, err)
	b.Cleanup(func() { _ = back.Close() })
	callers := make(chan netip.AddrPort, 1)
	go func() {
		buf := make([]byte, bufferSize)
		first := true
		for {
			n, from, err := front.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if first {
				callers <- from
				first = false
			}
			_, _ = back.Write(buf[:n])
		}
	}()
	go func() {
		caller := <-callers
		buf := make([]byte, bufferSize)
		for {
			n, err := back.Read(buf)
			if err != nil {
				return
			}
			_, _ = front.WriteToUDPAddrPort(buf[:n], caller)
		}
	}()
	return addressOf(front)
}

// startDaemon starts a daemon with one upstream and returns the address of its
// service.
func startDaemon(b *testing.B, upstream netip.AddrPort) netip.AddrPort {
	b.Helper()
	service := freeAddress(b)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	d, err := New(Options{
		Name:       "lb",
		Zone:       "a",
		UpstreamIP: netip.MustParseAddr("127.0.0.1"),
		Relay:      freeAddress(b),
		Control:    freeAddress(b),
		Admin:      freeAddress(b),
		Limits: keeper.Limits{
			Exchanges:     100_000,
			LedgerEntries: 1000,
		},
		QueueSize: 4096,
		Platform: &fixedPlatform{document: &config.Document{
			Keys: []config.Key{{
				ID:     1,
				Secret: make([]byte, config.MinSecretSize),
			}},
			Zones: []config.Zone{{
				Name:   "a",
				Region: "r",
				State:  config.ZoneIn,
			}},
			Services: []config.Service{{
				ID:       1,
				Name:     "photos",
				Address:  service,
				Deadline: config.Duration(time.Second),
				Refresh:  config.Duration(time.Minute),
				Upstreams: []config.Upstream{{
					ID:          1,
					Name:        "photos-1",
					Zone:        "a",
					Address:     upstream,
					Share:       1,
					Slots:       4 * window,
					Connections: 1000,
					State:       config.UpstreamActive,
				}},
			}},
		}},
		Log:   logrus.NewEntry(log),
		Meter: noop.NewMeterProvider().Meter(""),
	})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return service
}

// A fixedPlatform is a Platform that publishes one document and no VMs.
type fixedPlatform struct {
	document *config.Document
}

func (p *fixedPlatform) Snapshot(context.Context) (*config.Publication, error) {
	return &config.Publication{
		Version:  1,
		Document: p.document,
	}, nil
}

func (p *fixedPlatform) VMs(context.Context) ([]config.VM, error) {
	return nil, nil
}

func (p *fixedPlatform) Watch(ctx context.Context, _ config.Version, _ time.Duration) (*config.Publication, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func listen(b *testing.B) *net.UDPConn {
	b.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	b.Cleanup(func() { _ = socket.Close() })
	return socket
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(b *testing.B) netip.AddrPort {
	b.Helper()
	socket := listen(b)
	defer func() { _ = socket.Close() }()
	return addressOf(socket)
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}
