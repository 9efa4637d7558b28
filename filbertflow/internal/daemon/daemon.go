// Package daemon runs one balancer that forwards flows: its sockets, the reader
// of the platform's store, what it tells its peers, and its logs. Decisions are
// those of the packages flow, directory, member and rollout.
package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/ring"
)

const (
	// tick is the time between two looks at what is due.
	tick = 100 * time.Millisecond
	// callRing is the number of events that wait for the directory.
	callRing = 256
	// leaveMargin is the part of the grace that a leaving balancer does not use:
	// it ends by itself before it is killed.
	leaveMargin = 1500 * time.Millisecond
	// logTimeout bounds the time for what is left of the log at the end.
	logTimeout = 500 * time.Millisecond
	// firstViewTimeout is how long packets wait for the first view. They wait in
	// the socket's buffer.
	firstViewTimeout = time.Second
)

// A Codec reads and writes clients' packets.
type Codec interface {
	// Parse sets p from a datagram.
	Parse(data []byte, p *flow.Packet) error
	// Readdress prepares a packet in place for an upstream; data has the
	// headroom before the packet.
	Readdress(data []byte, u *directory.Upstream, t directory.Ticket)
	// RequestID returns the id of the request that begins in a packet, if it has
	// one.
	RequestID(data []byte) (id string, ok bool)
	// AppendReset appends the datagram that resets p's flow, and returns where
	// it goes.
	AppendReset(buf []byte, p *flow.Packet) ([]byte, netip.AddrPort)
}

// A Source is where changes are read from.
type Source interface {
	// List returns all that there is; a stale listing may be seconds old.
	List(ctx context.Context, stale bool) (*directory.Delta, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*directory.Delta, error)
	// Close drops open connections.
	Close()
}

// A SourceObserver is told what a source does.
type SourceObserver struct {
	// OnCall takes the name of a call that is made.
	OnCall func(call string)
	// OnRejectedEntry takes an entry that can't be used.
	OnRejectedEntry func(key string, err error)
}

// Options are what a daemon is made from.
type Options struct {
	Name string
	Zone string
	// Packets is the UDP address of clients' packets.
	Packets netip.AddrPort
	// Readiness is the TCP address of the routers' probes.
	Readiness netip.AddrPort
	// Peers is the UDP and TCP address for other balancers.
	Peers netip.AddrPort
	// Metrics is the TCP address of the metrics; none where it is not valid.
	Metrics netip.AddrPort
	// Seeds are addresses of other balancers; their ports don't count.
	Seeds []netip.AddrPort
	// Grace is the time from the order to leave until the process is killed.
	Grace     time.Duration
	LogRate   int
	LogLevel  logrus.Level
	LogOutput io.Writer
	Codec     Codec
	// Headroom is the number of bytes that Codec.Readdress needs before a
	// packet.
	Headroom int
	// NewSource makes the source of changes.
	NewSource func(SourceObserver) Source
	// NewReadinessHandler makes the handler of readiness probes.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// A Daemon is one running balancer.
type Daemon struct {
	options     Options
	log         *logs.Log
	counters    *counters
	source      Source
	incarnation uint64
	// view is nil until something is known.
	view atomic.Pointer[directory.View]
	// viewed is closed with the first view.
	viewed chan struct{}
	// owners is the table of members for the goroutine of packets.
	owners atomic.Pointer[member.Table]
	// ticked is when the goroutine of the directory last ran, and resumed when the
	// process last ran again after a pause, in nanoseconds since the start.
	ticked  atomic.Int64
	resumed atomic.Int64
	leaving atomic.Bool
	left    chan struct{}
	calls   *ring.Ring[func(time.Time)]
	// probes are the upstreams to probe.
	probes *ring.Ring[*directory.Upstream]
	spread *spread
	shared shared
	// reads wakes the reader; it holds whether this balancer reads.
	reads    chan bool
	packets  *net.UDPConn
	datagram *net.UDPConn
	duties   sync.WaitGroup
}

// New returns the daemon that o describes.
func New(o Options) *Daemon {
	d := &Daemon{
		options:     o,
		log:         logs.New(o.LogOutput, o.Name, o.LogLevel, o.LogRate),
		counters:    newCounters(time.Now()),
		incarnation: rand.Uint64() | 1,
		viewed:      make(chan struct{}),
		left:        make(chan struct{}),
		calls:       ring.New[func(time.Time)](callRing),
		probes:      ring.New[*directory.Upstream](probeRing),
		reads:       make(chan bool, 1),
	}
	d.source = o.NewSource(SourceObserver{
		OnCall: d.counters.called,
		OnRejectedEntry: func(key string, err error) {
			d.log.Warn(time.Now(), "directory: unusable entry", logs.F("key", key), logs.F("error", err.Error()))
		},
	})
	d.spread = newSpread(time.Now(), d)
	return d
}

// Leave makes routers turn away and ends the daemon when its grace is nearly
// over; packets are forwarded until then.
func (d *Daemon) Leave() {
	if d.leaving.Swap(true) {
		return
	}
	wait := max(d.options.Grace-leaveMargin, 0)
	d.log.Info(time.Now(), "daemon: leaving", logs.F("for", wait.String()))
	d.call(func(time.Time) { d.spread.tracker.Leave() })
	time.AfterFunc(wait, func() { close(d.left) })
}

// SettingsReloaded takes the seeds of changed settings, or why they can't be used.
func (d *Daemon) SettingsReloaded(seeds []netip.AddrPort, err error) {
	now := time.Now()
	if err != nil {
		d.log.Warn(now, "daemon: settings not reloaded", logs.F("error", err.Error()))
		return
	}
	d.log.Info(now, "daemon: settings reloaded", logs.F("seeds", seeds))
	d.call(func(now time.Time) { d.spread.seed(now, seeds) })
}

// Run serves until ctx ends or the daemon has left. The error is that of a
// socket that can't be opened.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	logging, endLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		d.log.Run(logging)
	}()
	err := d.serve(ctx)
	d.log.Info(time.Now(), "daemon: stopped", logs.F("flows", d.counters.flows.Load()))
	cancel()
	endLog()
	select {
	case <-logged:
	case <-time.After(logTimeout):
		// Nobody reads the log: that must not keep the process from ending.
	}
	return err
}

// call hands an event to the goroutine of the directory; a full ring refuses it.
func (d *Daemon) call(f func(time.Time)) bool {
	return d.calls.Offer(f)
}

func (d *Daemon) serve(ctx context.Context) error {
	if err := d.listenOn(d.options.Packets, d.options.Peers); err != nil {
		return err
	}
	d.log.Info(time.Now(), "daemon: started", logs.F("zone", d.options.Zone),
		logs.F("packets", d.options.Packets), logs.F("incarnation", d.incarnation))
	for _, duty := range []func(context.Context){
		d.read, d.spread.run, d.hearPeers, d.servePeers, d.forward, d.serveProbes, d.serveMetrics, d.introduce, d.probe,
	} {
		d.duties.Go(func() { duty(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-d.left:
	}
	return nil
}

// listenOn opens the sockets for clients' packets and for peers' datagrams.
func (d *Daemon) listenOn(packets, peers netip.AddrPort) error {
	var err error
	if d.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(packets)); err != nil {
		return eris.Wrap(err, "listen for packets")
	}
	if err = d.packets.SetReadBuffer(packetBuffer); err != nil {
		return eris.Wrap(err, "size the buffer for packets")
	}
	d.datagram, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peers))
	return eris.Wrap(err, "listen for peers")
}

// ready reports whether routers may send packets here.
func (d *Daemon) ready() bool {
	v := d.view.Load()
	return v != nil && v.Plan != nil && !d.leaving.Load()
}

// storeAge returns the time since the store last answered anyone that told this
// balancer.
func (d *Daemon) storeAge() time.Duration {
	return time.Since(d.counters.latency.start) - time.Duration(d.counters.storeAnswered.Load())
}

func (d *Daemon) serveProbes(ctx context.Context) {
	d.serveHTTP(ctx, d.options.Readiness, d.options.NewReadinessHandler(d.ready))
}

// serveHTTP answers requests at an address until ctx ends.
func (d *Daemon) serveHTTP(ctx context.Context, a netip.AddrPort, h http.Handler) {
	server := &http.Server{
		Addr:              a.String(),
		Handler:           h,
		ReadHeaderTimeout: httpTimeout,
		IdleTimeout:       httpIdle,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		d.log.Warn(time.Now(), "daemon: can't serve", logs.F("address", a), logs.F("error", err.Error()))
	}
}

// Times of HTTP servers.
const (
	httpTimeout = 2 * time.Second
	httpIdle    = 30 * time.Second
)
