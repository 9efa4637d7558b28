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
	// eventQueueSize is the number of events that wait for the directory.
	eventQueueSize = 256
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
	// firstView is closed with the first view.
	firstView chan struct{}
	// owners is the table of members for the goroutine of packets.
	owners atomic.Pointer[member.Table]
	// ranAt is when the goroutine of the directory last ran, and resumed when the
	// process last ran again after a pause, in nanoseconds since the start.
	ranAt     atomic.Int64
	resumedAt atomic.Int64
	leaving   atomic.Bool
	leaveDone chan struct{}
	events    *ring.Ring[func(time.Time)]
	// probeQueue are the upstreams to probe.
	probeQueue  *ring.Ring[*directory.Upstream]
	syncer      *syncer
	peerNotices peerNotices
	// reads wakes the reader; it holds whether this balancer reads.
	reads         chan bool
	packets       *net.UDPConn
	peerDatagrams *net.UDPConn
	tasks         sync.WaitGroup
}

// New returns the daemon that o describes.
func New(o Options) *Daemon {
	d := &Daemon{
		options:     o,
		log:         logs.New(o.LogOutput, o.Name, o.LogLevel, o.LogRate),
		counters:    newCounters(time.Now()),
		incarnation: rand.Uint64() | 1,
		firstView:   make(chan struct{}),
		leaveDone:   make(chan struct{}),
		events:      ring.New[func(time.Time)](eventQueueSize),
		probeQueue:  ring.New[*directory.Upstream](probeQueueSize),
		reads:       make(chan bool, 1),
	}
	d.source = o.NewSource(SourceObserver{
		OnCall: d.counters.countStoreCall,
		OnRejectedEntry: func(key string, err error) {
			d.log.Warn(time.Now(), "directory: unusable entry", logs.F("key", key), logs.F("error", err.Error()))
		},
	})
	d.syncer = newSyncer(time.Now(), d)
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
	d.post(func(time.Time) { d.syncer.tracker.Leave() })
	time.AfterFunc(wait, func() { close(d.leaveDone) })
}

// SettingsReloaded takes the seeds of changed settings, or why they can't be used.
func (d *Daemon) SettingsReloaded(seeds []netip.AddrPort, err error) {
	now := time.Now()
	if err != nil {
		d.log.Warn(now, "daemon: settings not reloaded", logs.F("error", err.Error()))
		return
	}
	d.log.Info(now, "daemon: settings reloaded", logs.F("seeds", seeds))
	d.post(func(now time.Time) { d.syncer.setSeeds(now, seeds) })
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

// post hands an event to the goroutine of the directory; a full ring refuses it.
func (d *Daemon) post(f func(time.Time)) bool {
	return d.events.Offer(f)
}

func (d *Daemon) serve(ctx context.Context) error {
	if err := d.openSockets(d.options.Packets, d.options.Peers); err != nil {
		return err
	}
	d.log.Info(time.Now(), "daemon: started", logs.F("zone", d.options.Zone),
		logs.F("packets", d.options.Packets), logs.F("incarnation", d.incarnation))
	for _, task := range []func(context.Context){
		d.followStore, d.syncer.run, d.receiveFromPeers, d.servePeers, d.forwardPackets, d.serveReadiness, d.serveMetrics, d.bootstrap, d.runProbes,
	} {
		d.tasks.Go(func() { task(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-d.leaveDone:
	}
	return nil
}

// openSockets opens the sockets for clients' packets and for peers' datagrams.
func (d *Daemon) openSockets(packets, peers netip.AddrPort) error {
	var err error
	if d.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(packets)); err != nil {
		return eris.Wrap(err, "listen for packets")
	}
	if err = d.packets.SetReadBuffer(packetBufferSize); err != nil {
		return eris.Wrap(err, "size the buffer for packets")
	}
	d.peerDatagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peers))
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

func (d *Daemon) serveReadiness(ctx context.Context) {
	d.serveHTTP(ctx, d.options.Readiness, d.options.NewReadinessHandler(d.ready))
}

// serveHTTP answers requests at an address until ctx ends.
func (d *Daemon) serveHTTP(ctx context.Context, a netip.AddrPort, h http.Handler) {
	server := &http.Server{
		Addr:              a.String(),
		Handler:           h,
		ReadHeaderTimeout: httpHeaderTimeout,
		IdleTimeout:       httpIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		d.log.Warn(time.Now(), "daemon: can't serve", logs.F("address", a), logs.F("error", err.Error()))
	}
}

// Times of HTTP servers.
const (
	httpHeaderTimeout = 2 * time.Second
	httpIdleTimeout   = 30 * time.Second
)
