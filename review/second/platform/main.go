// Standin plays the platform, hosts, clients and the operator of a small deployment, starts the
// balancers as processes and judges what clients and hosts see. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var serviceAddress = netip.MustParseAddrPort("127.255.0.1:8443")

func main() {
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "the file to write what was seen to")
	scenario := flag.String("scenario", "", "the case")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.Bool("keep", false, "whether to keep the temporary folder")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, *root, *record, *scenario, *trouble, *keep))
}

func run(ctx context.Context, root, record, scenario string, trouble, keep bool) int {
	w, err := newWorld(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		for _, b := range w.balancers {
			b.kill()
		}
		time.Sleep(100 * time.Millisecond)
		if keep {
			fmt.Println(w.dir)
		} else {
			_ = os.RemoveAll(w.dir)
		}
	}()
	var play func(context.Context, *world, bool) error
	switch scenario {
	case "empty-zone":
		play = playEmptyZone
	case "last-of-zone":
		play = playLastOfZone
	default:
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	w.note("the disruption happens: %v", trouble)
	err = play(ctx, w, trouble)
	verdict, code := "the rule held", 0
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), 2
	case ctx.Err() != nil:
		verdict, code = "the case was ended early", 2
	case w.broken > 0:
		verdict, code = fmt.Sprintf("the rule was broken %d times", w.broken), 1
	}
	if err := w.write(record, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(verdict)
	return code
}

// zones of the deployment, with the numbers of balancers and hosts, and the flows that clients
// open a second.
type zoneSize struct {
	name             string
	balancers, hosts int
	clients          int
	flowsPerSecond   float64
}

// startAll starts a deployment, and its clients' traffic once all balancers are in rotation.
func startAll(ctx context.Context, w *world, zones []zoneSize, pause func() time.Duration) error {
	putConfig(w, 3, 5000)
	for i, z := range zones {
		for n := range z.hosts {
			if err := w.addHost(i+1, z.name, "desk", n+1); err != nil {
				return err
			}
		}
		for n := range z.balancers {
			w.addBalancer(i+1, z.name, n+1)
		}
	}
	for _, b := range w.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	go w.router.run(ctx)
	for until := time.Now().Add(8 * time.Second); w.router.numReady() < len(w.balancers); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d balancers are ready", w.router.numReady(), len(w.balancers))
		}
	}
	for i, z := range zones {
		for n := range z.clients {
			c, err := newClient(w, z.name, w.ip(i+1, 150+n))
			if err != nil {
				return err
			}
			go c.openFlows(ctx, z.flowsPerSecond/float64(z.clients), pause)
		}
	}
	return nil
}

// openFlows opens flows at random times, at a mean rate.
func (c *client) openFlows(ctx context.Context, perSecond float64, pause func() time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		go c.run(serviceAddress, 2+rand.IntN(2), pause)
	}
}

// putConfig writes a version of the configuration, with further routes at some ports.
func putConfig(w *world, version, timeout int, further ...int) {
	var routes []map[string]any
	for _, port := range append([]int{int(serviceAddress.Port())}, further...) {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", port), "hostname": serviceAddress.Addr().String(), "prefix": fmt.Sprintf("/%d/", port),
			"type": "non_idempotent", "timeout-ms": timeout, "latency-goal-ms": 300, "priority": 1, "service": "desk", "max-attempts": 2,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": "desk", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
