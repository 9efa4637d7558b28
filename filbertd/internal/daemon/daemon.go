// Package daemon runs one balancer. It connects sockets, timers, the platform
// and peers to package balancer, which makes the decisions.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ring"
	"filbertworks.example/filbertworks/rollout"
)

// Platform is the read-only service that publishes the configuration and the
// list of VMs.
type Platform interface {
	// Snapshot returns the whole configuration in force.
	Snapshot(ctx context.Context) (*config.Publication, error)
	// VMs returns the list of VMs.
	VMs(ctx context.Context) ([]config.VM, error)
	// Watch waits for a configuration newer than version after. It returns nil
	// if there is none within wait.
	Watch(ctx context.Context, after config.Version, wait time.Duration) (*config.Publication, error)
}

// Options configures a Daemon.
type Options struct {
	Name string
	Zone string
	// CallerIP is the address to listen on for callers instead of the services'
	// own addresses, if it is valid.
	CallerIP   netip.Addr
	UpstreamIP netip.Addr
	Relay      netip.AddrPort
	Control    netip.AddrPort
	Admin      netip.AddrPort
	Limits     keeper.Limits
	// QueueSize is the capacity, in datagrams, of each of the rings of received
	// datagrams, of datagrams to callers, and of datagrams to upstreams and
	// peers.
	QueueSize int
	Platform  Platform
	Log       *logrus.Entry
	Meter     metric.Meter
}

// A Daemon is one running balancer.
type Daemon struct {
	options     Options
	incarnation uint64
	log         *logrus.Entry
	events      *ring.Ring[event]
	// loopCalls passes functions to run in the loop's goroutine.
	loopCalls chan func(now time.Time)
	counters  *counters
	journal   *journal
	relay     *net.UDPConn
	listeners *listeners
	paths     *pathSet
	parser    *coap.Parser
	// header is reused to parse callers' datagrams, and release to parse peers'
	// releases.
	release         keeper.Release
	header          packet.Header
	transport       *transport
	balancer        *balancer.Balancer
	tracker         *member.Tracker
	prober          *prober
	sharer          *loadSharer
	freshness       *member.Freshness
	history         *rollout.History
	puller          *rollout.Puller
	controlListener net.Listener
	// frame is a reused buffer for encoding heartbeats.
	frame []byte
	// ctx ends with Run, which waits for tasks.
	ctx   context.Context
	tasks sync.WaitGroup
	// installedAt is when this process installed the configuration in force.
	installedAt time.Time
	startedAt   time.Time
	drainOnce   sync.Once
	// draining is closed to start a graceful leave.
	draining chan struct{}
}

// New returns a daemon whose sockets for peers are open; Run starts serving.
func New(o Options) (*Daemon, error) {
	relay, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Relay))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %v", o.Relay)
	}
	controlListener, err := net.Listen("tcp", o.Control.String())
	if err != nil {
		_ = relay.Close()
		return nil, eris.Wrapf(err, "listen for peers' calls on %v", o.Control)
	}
	now := time.Now()
	d := &Daemon{
		options:         o,
		incarnation:     randomIncarnation(),
		log:             o.Log,
		events:          ring.New[event](o.QueueSize),
		loopCalls:       make(chan func(time.Time)),
		counters:        &counters{},
		journal:         newJournal(o.Log),
		relay:           relay,
		controlListener: controlListener,
		startedAt:       now,
		freshness:       member.NewFreshness(now),
		history:         &rollout.History{},
		puller:          &rollout.Puller{},
		parser:          coap.NewParser(),
		draining:        make(chan struct{}),
	}
	d.listeners = newListeners(o.CallerIP, d.events, o.Log)
	d.paths = newPathSet(o.UpstreamIP, d.events)
	d.tracker = member.NewTracker(now, member.Member{
		Name:        o.Name,
		Zone:        o.Zone,
		Incarnation: d.incarnation,
		Relay:       o.Relay,
		Control:     o.Control,
		Admin:       o.Admin,
	}, mathrand.New(mathrand.NewPCG(d.incarnation, 1)))
	d.transport = &transport{
		writer:         coap.NewWriter(),
		listeners:      d.listeners,
		paths:          d.paths,
		relay:          relay,
		counters:       d.counters,
		journal:        d.journal,
		callerSender:   newSender("caller", o.QueueSize, d.counters),
		upstreamSender: newSender("upstream", o.QueueSize, d.counters),
	}
	d.balancer = balancer.New(balancer.Options{
		Name:         o.Name,
		Zone:         o.Zone,
		Incarnation:  d.incarnation,
		Start:        time.Now(),
		Limits:       o.Limits,
		Rand:         mathrand.New(mathrand.NewPCG(d.incarnation, 0)),
		Transport:    d.transport,
		Releaser:     d.transport,
		StartupGrace: startupGrace,
	})
	d.transport.balancer = d.balancer
	d.prober = newProber(mathrand.New(mathrand.NewPCG(d.incarnation, 1)))
	d.sharer = newLoadSharer()
	if err := d.counters.register(o.Meter); err != nil {
		return nil, err
	}
	if err := d.registerGauges(o.Meter); err != nil {
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends or a graceful leave has finished.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	tasks := &d.tasks
	tasks.Go(func() { d.journal.run(ctx.Done()) })
	tasks.Go(func() { d.followConfig(ctx) })
	tasks.Go(func() { d.followVMs(ctx) })
	tasks.Go(func() { d.serveControl(ctx) })
	tasks.Go(func() { d.probeUpstreams(ctx) })
	tasks.Go(func() { d.shareLoads(ctx) })
	tasks.Go(func() { d.runLeave(ctx, cancel) })
	go readDatagrams(d.relay, d.events, event{source: sourcePeer})
	stopSenders := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { d.transport.callerSender.run(stopSenders) })
	senders.Go(func() { d.transport.upstreamSender.run(stopSenders) })
	d.loop(ctx)
	close(stopSenders)
	senders.Wait()
	_ = d.relay.Close()
	d.listeners.close()
	d.paths.close()
	tasks.Wait()
	return nil
}

// call runs f in the loop's goroutine and waits until it returns. If ctx ends
// before the loop accepts f, call returns without running it.
func (d *Daemon) call(ctx context.Context, f func(now time.Time)) {
	done := make(chan struct{})
	g := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case d.loopCalls <- g:
		<-done
	case <-ctx.Done():
	}
}

// randomIncarnation returns a random incarnation other than zero.
func randomIncarnation() uint64 {
	var b [8]byte
	// Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:]))
}
