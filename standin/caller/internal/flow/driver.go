// Package flow simulates callers: watches, holds and photo downloads whose
// every datagram goes to any balancer.
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

// photoNumbers is the number of distinct photos.
const photoNumbers = 1000

// Settings are the load that a driver makes.
type Settings struct {
	// Balancers are the addresses that answer for every service; without one
	// the services' own addresses are used.
	Balancers []netip.Addr
	// Source is the network of the callers' addresses.
	Source netip.Prefix
	// Watches is the number of watches of each service that has them.
	Watches int
	// HoldRate and PhotoRate are requests a second of each service that has them.
	HoldRate   int
	PhotoRate  int
	AckTimeout time.Duration
	Seed       uint64
}

// A Driver runs the callers of a document's services.
type Driver struct {
	document  *config.Document
	directory *Directory
	settings  Settings
	log       *logrus.Logger
	report    *Report
	// run makes hold ids distinct from those of another run of the same seed.
	run int64

	mu     sync.Mutex
	random *rand.Rand
	source netip.Addr
}

// NewDriver returns a driver.
func NewDriver(document *config.Document, directory *Directory, settings Settings, log *logrus.Logger) *Driver {
	return &Driver{
		document:  document,
		directory: directory,
		settings:  settings,
		log:       log,
		report:    NewReport(),
		run:       time.Now().UnixNano(),
		random:    rand.New(rand.NewPCG(settings.Seed, 0)),
		source:    settings.Source.Masked().Addr(),
	}
}

// Run makes the load until load ends, and returns the report once all requests
// have their outcome or ctx has ended.
func (d *Driver) Run(ctx, load context.Context) *Report {
	var group sync.WaitGroup
	for i := range d.document.Services {
		s := &d.document.Services[i]
		if standin.ServesPhotos(s.Name) {
			group.Go(func() { d.pace(load, d.settings.PhotoRate, func(int) { d.photo(ctx, load, s) }) })
			continue
		}
		group.Go(func() { d.pace(load, d.settings.HoldRate, func(n int) { d.hold(ctx, load, s, n) }) })
		for range d.settings.Watches {
			group.Go(func() { d.watch(load, s) })
		}
	}
	group.Wait()
	return d.report
}

// balancers returns where the datagrams of a service may go.
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

// caller returns the source address and the random numbers of a new caller.
func (d *Driver) caller() (netip.Addr, *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.source = d.source.Next()
	if !d.settings.Source.Contains(d.source) {
		d.source = d.settings.Source.Masked().Addr().Next()
	}
	return d.source, rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

func (d *Driver) hold(ctx, load context.Context, s *config.Service, n int) {
	source, random := d.caller()
	socket, err := newSocket(source, d.balancers(s), d.settings.AckTimeout, random)
	if err != nil {
		d.log.Errorf("hold: %v", err)
		return
	}
	defer socket.close()
	var t Counts
	id := fmt.Sprintf("%s-%x-%d", s.Name, d.run, n)
	upstream := socket.hold(ctx, load, id, &t)
	d.report.Add(s.Name, d.directory.Zone(upstream), t)
}

// pace starts requests at a rate a second until load ends, and waits for them.
func (d *Driver) pace(load context.Context, rate int, start func(n int)) {
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

func (d *Driver) photo(ctx, load context.Context, s *config.Service) {
	source, random := d.caller()
	socket, err := newSocket(source, d.balancers(s), d.settings.AckTimeout, random)
	if err != nil {
		d.log.Errorf("photo: %v", err)
		return
	}
	defer socket.close()
	var t Counts
	socket.photo(ctx, load, s.Name, strconv.Itoa(random.IntN(photoNumbers)), &t)
	d.report.Add(s.Name, NoZone, t)
}

func (d *Driver) watch(load context.Context, s *config.Service) {
	source, random := d.caller()
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
	d.report.Add(s.Name, d.directory.Zone(w.upstream), w.tally)
}
