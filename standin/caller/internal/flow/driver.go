// Package flow simulates callers: watches, holds and photo downloads, each
// datagram of which is sent to a randomly chosen balancer.
package flow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/standin"
)

// photoNumbers is the number of distinct photos that are requested.
const photoNumbers = 1000

// Settings are the parameters of the load that a driver generates.
type Settings struct {
	// Balancers are the addresses of the balancers, each of which serves every
	// service. If there is none, the services' own addresses are used.
	Balancers []netip.Addr
	// Source is the network from which the callers' addresses are taken.
	Source netip.Prefix
	// Watches is the number of watches of each service that offers them.
	Watches int
	// HoldRate is the number of holds per second of each service that offers
	// them.
	HoldRate int
	// PhotoRate is the number of photo downloads per second of each service
	// that offers them.
	PhotoRate int
	// AckTimeout is the initial retransmission timeout (RFC 7252).
	AckTimeout time.Duration
	// Seed is the seed of all random choices.
	Seed uint64
}

// A Driver runs the callers of a document's services.
type Driver struct {
	document  *config.Document
	directory *Directory
	settings  Settings
	log       *logrus.Logger
	report    *Report
	// runID distinguishes the hold ids from those of other runs with the same
	// seed.
	runID int64

	mu     sync.Mutex
	random *rand.Rand
	// lastSource is the address of the newest caller.
	lastSource netip.Addr
}

// NewDriver returns a driver for the services of a document.
func NewDriver(document *config.Document, directory *Directory, settings Settings, log *logrus.Logger) *Driver {
	return &Driver{
		document:   document,
		directory:  directory,
		settings:   settings,
		log:        log,
		report:     NewReport(),
		runID:      time.Now().UnixNano(),
		random:     rand.New(rand.NewPCG(settings.Seed, 0)),
		lastSource: settings.Source.Masked().Addr(),
	}
}

// Run generates load until the context load ends. It returns the report when all
// requests have an outcome or ctx has ended.
func (d *Driver) Run(ctx, load context.Context) *Report {
	var group sync.WaitGroup
	for i := range d.document.Services {
		s := &d.document.Services[i]
		if standin.ServesPhotos(s.Name) {
			group.Go(func() { d.runAtRate(load, d.settings.PhotoRate, func(int) { d.fetchPhoto(ctx, load, s) }) })
			continue
		}
		group.Go(func() { d.runAtRate(load, d.settings.HoldRate, func(n int) { d.placeHold(ctx, load, s, n) }) })
		for range d.settings.Watches {
			group.Go(func() { d.keepWatch(load, s) })
		}
	}
	group.Wait()
	return d.report
}

// balancers returns the addresses to which datagrams for a service are sent.
func (d *Driver) balancers(s *config.Service) []netip.AddrPort {
	if len(d.settings.Balancers) == 0 {
		return []netip.AddrPort{s.Address}
	}
	balancers := make([]netip.AddrPort, 0, len(d.settings.Balancers))
	for _, a := range d.settings.Balancers {
		balancers = append(balancers, netip.AddrPortFrom(a, s.Address.Port()))
	}
	return balancers
}

// newCaller returns the source address and the random number generator of a new
// caller. Addresses are reused in a cycle.
func (d *Driver) newCaller() (netip.Addr, *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSource = d.lastSource.Next()
	if !d.settings.Source.Contains(d.lastSource) {
		d.lastSource = d.settings.Source.Masked().Addr().Next()
	}
	return d.lastSource, rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

func (d *Driver) placeHold(ctx, load context.Context, s *config.Service, n int) {
	source, random := d.newCaller()
	socket, err := newSocket(source, d.balancers(s), d.settings.AckTimeout, random)
	if err != nil {
		d.log.Errorf("hold: %v", err)
		return
	}
	defer socket.close()
	var counts Counts
	id := fmt.Sprintf("%s-%x-%d", s.Name, d.runID, n)
	upstream := socket.placeHold(ctx, load, id, &counts)
	d.report.Add(s.Name, d.directory.Zone(upstream), counts)
}

// runAtRate starts rate requests per second until load ends, and then waits for
// them to finish.
func (d *Driver) runAtRate(load context.Context, rate int, start func(n int)) {
	if rate <= 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			group.Go(func() { start(n) })
		case <-load.Done():
			return
		}
	}
}

func (d *Driver) fetchPhoto(ctx, load context.Context, s *config.Service) {
	source, random := d.newCaller()
	socket, err := newSocket(source, d.balancers(s), d.settings.AckTimeout, random)
	if err != nil {
		d.log.Errorf("photo: %v", err)
		return
	}
	defer socket.close()
	var counts Counts
	socket.fetchPhoto(ctx, load, s.Name, strconv.Itoa(random.IntN(photoNumbers)), &counts)
	d.report.Add(s.Name, NoZone, counts)
}

func (d *Driver) keepWatch(load context.Context, s *config.Service) {
	source, random := d.newCaller()
	w := &watch{
		source:     source,
		balancers:  d.balancers(s),
		ackTimeout: d.settings.AckTimeout,
		refresh:    time.Duration(s.Refresh),
		random:     random,
		directory:  d.directory,
		log:        d.log,
	}
	if err := w.run(load); err != nil {
		d.log.Errorf("watch: %v", eris.Cause(err))
	}
	d.report.Add(s.Name, d.directory.Zone(w.upstream), w.counts)
}
