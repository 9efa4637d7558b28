// Package daemon runs one balancer that forwards flows: its sockets, the reader
// of the platform's store, the exchange with its peers, metrics and logs. The
// decisions are made in the packages flow, directory, member and rollout.
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
	// tick is the interval of the periodic work of the syncer.
	tick = 100 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the syncer.
	eventQueueSize = 256
	// leaveMargin is the part of the grace period that a leaving balancer does
	// not use, so that it exits by itself before it is killed.
	leaveMargin = 1500 * time.Millisecond
	// logTimeout bounds the time for writing the remaining log lines at exit.
	logTimeout = 500 * time.Millisecond
	// firstViewTimeout is how long packets wait for the first view. They wait in
	// the socket's buffer.
	firstViewTimeout = time.Second
	// rotationTimeout is the time without a readiness probe after which the routers have
	// taken this balancer out of rotation: they probe each 500 ms, and two probes failed.
	rotationTimeout = 1250 * time.Millisecond
)

// A Codec parses and writes clients' packets.
type Codec interface {
	// Parse sets p from a datagram.
	Parse(data []byte, p *flow.Packet) error
	// Readdress prepares a packet in place for an upstream; data starts with
	// Options.Headroom bytes before the packet.
	Readdress(data []byte, u *directory.Upstream, t directory.Ticket)
	// RequestID returns the ID of the request that begins in a packet, if it has
	// one.
	RequestID(data []byte) (id string, ok bool)
	// AppendReset appends the datagram that resets p's flow to buf and returns
	// the address to send it to.
	AppendReset(buf []byte, p *flow.Packet) ([]byte, netip.AddrPort)
}

// A Source provides the changes of the directory, such as the platform's store.
type Source interface {
	// List returns all entries; a stale listing may be seconds old. A listing that has failed may
	// go on where it failed at the next call.
	List(ctx context.Context, stale bool) (*directory.Delta, error)
	// Watch returns the changes after a revision as soon as there are any, or an
	// empty delta after wait. If the delta is of another era than the revision, it
	// may lack changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*directory.Delta, error)
	// Close closes open connections.
	Close()
}

// A SourceObserver holds the callbacks of a Source.
type SourceObserver struct {
	// OnCall is called for each call to the source, with the call's name.
	OnCall func(call string)
	// OnResponse is called for each response that was read to its end, with the call's name, the
	// size in bytes, and the time that the response took from its header to its end.
	OnResponse func(call string, size int, took time.Duration)
	// OnRejectedEntry is called for each invalid entry.
	OnRejectedEntry func(key string, err error)
}

// Options configures a Daemon.
type Options struct {
	Name string
	Zone string
	// Packets is the UDP address that receives clients' packets.
	Packets netip.AddrPort
	// Readiness is the TCP address that answers the routers' readiness probes.
	Readiness netip.AddrPort
	// Peers is the UDP and TCP address for other balancers.
	Peers netip.AddrPort
	// Metrics is the TCP address that serves metrics; if it is not valid, metrics
	// are not served.
	Metrics netip.AddrPort
	// Seeds are addresses of other balancers; their ports are ignored.
	Seeds []netip.AddrPort
	// Grace is the time from the request to leave until the process is killed.
	Grace time.Duration
	// LogRate is the greatest number of log lines with the same message per
	// second.
	LogRate   int
	LogLevel  logrus.Level
	LogOutput io.Writer
	Codec     Codec
	// Load selects what is decided by the load that balancers share.
	Load LoadOptions
	// Headroom is the number of bytes that Codec.Readdress needs before a packet.
	Headroom int
	// NewSource creates the source of the directory's changes.
	NewSource func(SourceObserver) Source
	// NewReadinessHandler creates the handler of readiness probes.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// LoadOptions select what is decided by the load that balancers share.
type LoadOptions struct {
	// Share has balancers exchange the load of upstreams. The others need it.
	Share bool
	flow.Sharing
}

// A Daemon is one running balancer. One goroutine handles clients' packets, and
// one, the syncer, keeps the directory and the membership up to date.
type Daemon struct {
	options     Options
	log         *logs.Log
	counters    *counters
	source      Source
	incarnation uint64
	// view is the view of the directory that packets are decided by; nil until
	// the directory has a revision.
	view atomic.Pointer[directory.View]
	// firstView is closed when the first view is published.
	firstView chan struct{}
	// owners is the membership table that the packet handler uses.
	owners atomic.Pointer[member.Table]
	// ranAt is when the syncer's periodic work last ran, and resumedAt when the
	// process last resumed after a stall, in nanoseconds since the daemon's
	// start.
	ranAt     atomic.Int64
	resumedAt atomic.Int64
	// clock detects suspensions, and suspendedFor is the time of those, in nanoseconds, that
	// the syncer has not handled yet.
	clock        *suspensionClock
	suspendedFor atomic.Int64
	leaving      atomic.Bool
	// flowsMove tells that flows may move between zones while they are opened.
	flowsMove atomic.Bool
	// probedAt is when a readiness probe was last answered positively, in nanoseconds since
	// the daemon's start; zero if none was.
	probedAt atomic.Int64
	// leads tells that this balancer is the reader that the other zones rely on.
	leads atomic.Bool
	// leaveDone is closed when a leaving daemon may stop.
	leaveDone chan struct{}
	// events holds the functions that the syncer's goroutine is to run.
	events *ring.Ring[func(time.Time)]
	// probeQueue holds the upstreams to probe.
	probeQueue *ring.Ring[*directory.Upstream]
	// load is what is known of the shared load, for metrics and operators; nil until the first
	// report on it.
	load        atomic.Pointer[loadView]
	syncer      *syncer
	peerNotices peerNotices
	// reads wakes the store's reader; it holds whether this balancer reads the
	// store.
	reads chan bool
	// packets is the socket for clients' packets, and peerDatagrams that for
	// peers' datagrams.
	packets       *net.UDPConn
	peerDatagrams *net.UDPConn
	// dialPeer connects to a peer.
	dialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	tasks    sync.WaitGroup
}

// New returns the daemon that o configures.
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
		dialPeer:    (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
	}
	d.source = o.NewSource(SourceObserver{
		OnCall:     d.counters.countStoreCall,
		OnResponse: d.recordResponse,
		OnRejectedEntry: func(key string, err error) {
			d.log.Warn(time.Now(), "directory: invalid entry", logs.F("key", key), logs.F("error", err.Error()))
		},
	})
	d.clock = newSuspensionClock(time.Now(), bootTime)
	d.syncer = newSyncer(time.Now(), d)
	return d
}

// Leave fails the readiness probes, so that routers stop sending new packets
// here, and stops the daemon shortly before the end of its grace period. Packets
// are forwarded until then.
func (d *Daemon) Leave() {
	if d.leaving.Swap(true) {
		return
	}
	wait := max(d.options.Grace-leaveMargin, 0)
	d.log.Info(time.Now(), "daemon: leaving", logs.F("for", wait.String()))
	d.post(func(time.Time) { d.syncer.tracker.Leave() })
	time.AfterFunc(wait, func() { close(d.leaveDone) })
}

// SettingsReloaded applies the seeds of reloaded settings, or logs err if they
// could not be loaded.
func (d *Daemon) SettingsReloaded(seeds []netip.AddrPort, err error) {
	now := time.Now()
	if err != nil {
		d.log.Warn(now, "daemon: settings not reloaded", logs.F("error", err.Error()))
		return
	}
	d.log.Info(now, "daemon: settings reloaded", logs.F("seeds", seeds))
	d.post(func(now time.Time) { d.syncer.setSeeds(now, seeds) })
}

// Run serves until ctx ends or the daemon has left. It returns an error if a
// socket can't be opened.
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
		// The log's reader is stuck: that must not keep the process from exiting.
	}
	return err
}

// post queues an event for the syncer's goroutine. It reports whether the queue
// had room.
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
		return eris.Wrap(err, "set the receive buffer for packets")
	}
	d.peerDatagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peers))
	return eris.Wrap(err, "listen for peers")
}

// ready reports whether routers may send packets here.
func (d *Daemon) ready() bool {
	v := d.view.Load()
	return v != nil && v.Plan != nil && !d.leaving.Load()
}

// answerReadiness answers a readiness probe, and notes if the routers had taken this balancer out of
// rotation since no probe had reached it.
func (d *Daemon) answerReadiness(now time.Time) bool {
	if !d.ready() {
		return false
	}
	at := d.sinceStart(now)
	if last := d.probedAt.Swap(at); last != 0 && time.Duration(at-last) >= rotationTimeout {
		d.post(func(now time.Time) { d.syncer.handleReturn(now) })
	}
	return true
}

// storeAge returns the time since the store last answered any balancer whose
// answer this one has learned of.
func (d *Daemon) storeAge() time.Duration {
	return time.Since(d.counters.latency.start) - time.Duration(d.counters.storeAnswered.Load())
}

func (d *Daemon) serveReadiness(ctx context.Context) {
	d.serveHTTP(ctx, d.options.Readiness, d.options.NewReadinessHandler(func() bool { return d.answerReadiness(time.Now()) }))
}

// serveHTTP serves HTTP at an address until ctx ends.
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
		d.log.Warn(time.Now(), "daemon: HTTP server failed", logs.F("address", a), logs.F("error", err.Error()))
	}
}

// Times of HTTP servers.
const (
	httpHeaderTimeout = 2 * time.Second
	httpIdleTimeout   = 30 * time.Second
)
