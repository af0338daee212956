package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/nettest"
)

// startFleet runs the event loops of a fleet of the given size until stop is called.
func (d *fleetDiscovery) startFleet(t *testing.T, size int, cachedCatalog string) (fleet []*Loop, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range size {
		settings := fmt.Sprintf(`{"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 1000}],
			"discovery": "subscribe", "my_number": %d, "peers_total": %d, "rules": {"ask_within_ms": 20000}}`,
			i, size)
		raw := fmt.Sprintf(
			`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"%x","known":%s,"settings":%s}`,
			i+1, cachedCatalog, settings)
		cfg, err := config.Parse([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		l := NewLoop(clock.New(), &cfg, slog.New(slog.DiscardHandler))
		l.dispatcher.discovery = d.newClient(i)
		fleet = append(fleet, l)
		running.Go(func() { l.Run(ctx) })
	}
	return fleet, func() {
		cancel()
		running.Wait()
		d.setState(refusesConnections, "")
	}
}

// runInBubble runs a test in virtual time (in a bubble of package synctest), on one processor. With more than one
// processor the race detector of Go 1.26 crashes: the timers of a bubble share one race context, and a select on a
// timer's channel may run such a timer (runtime.maybeRunChan) while the bubble's root goroutine runs others.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, test)
}

// However long an outage of discovery lasts and whatever discovery does with calls meanwhile, all 300 sidecars are
// notified of the changes within 6 s of the end of the outage, although discovery serves their calls one after the
// other.
func TestFleetReceivesCatalogSoonAfterDiscoveryRecovers(t *testing.T) {
	for _, outage := range []outageKind{refusesConnections, closesConnections, neverResponds, sendsHeadersOnly} {
		for _, duration := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s for %v", outage, duration), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					testFleetAfterOutage(t, outage, duration)
				})
			})
		}
	}
}

func testFleetAfterOutage(t *testing.T, outage outageKind, duration time.Duration) {
	t.Helper()
	upCatalog := nettest.CatalogJSON(1, true, nettest.InstanceJSON("s-0", "127.0.0.1:1", "up"))
	drainingCatalog := nettest.CatalogJSON(2, true, nettest.InstanceJSON("s-0", "127.0.0.1:1", "draining"))
	d := &fleetDiscovery{responseDelay: 100 * time.Millisecond}
	d.setState(noOutage, upCatalog)
	_, stop := d.startFleet(t, fleetSize, nettest.CachedCatalogJSON("127.0.0.1:1"))
	defer stop()
	time.Sleep(20 * time.Second)
	if n, _ := d.notified(); n < fleetSize {
		t.Errorf("before the outage %d of %d sidecars have the catalog after 20 s", n, fleetSize)
	}
	d.setState(outage, "")
	time.Sleep(duration)
	d.setState(noOutage, drainingCatalog)
	recoveredAt := time.Now()
	time.Sleep(30 * time.Second)
	n, last := d.notified()
	if delay := last.Sub(recoveredAt); n < fleetSize || delay > 6*time.Second {
		t.Errorf("%d of %d sidecars have the catalog, the last %v after the outage, want all within 6 s",
			n, fleetSize, delay)
	}
}

// If all sidecars of a fleet start at once, at least nine in ten are ready within 10 s, whatever discovery does with
// their calls and whatever their cached catalogs hold.
func TestReadyWithinTimeout(t *testing.T) {
	cachedCatalogs := map[string]string{
		"an endpoint":          nettest.CachedCatalogJSON("127.0.0.1:1"),
		"no endpoints":         nettest.CatalogJSON(1, true),
		"nothing":              "null",
		"an outdated endpoint": nettest.CatalogJSON(1, true, nettest.InstanceJSON("gone", "127.0.0.1:2", "draining")),
	}
	for _, outage := range []outageKind{noOutage, refusesConnections, neverResponds, sendsHeadersOnly} {
		for cached, cachedCatalog := range cachedCatalogs {
			behavior := string(outage)
			if outage == noOutage {
				behavior = "is overloaded"
			}
			t.Run(fmt.Sprintf("discovery %s, the cache holds %s", behavior, cached), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					testFleetBecomesReady(t, outage, cachedCatalog)
				})
			})
		}
	}
}

func testFleetBecomesReady(t *testing.T, outage outageKind, cachedCatalog string) {
	t.Helper()
	d := &fleetDiscovery{}
	d.setState(outage, nettest.CatalogJSON(2, true, nettest.InstanceJSON("s-0", "127.0.0.1:1", "up")))
	if outage == noOutage {
		d.responseDelay = 20 * time.Second // discovery is overloaded, and no call gets a response in time
	}
	fleet, stop := d.startFleet(t, fleetSize, cachedCatalog)
	defer stop()
	time.Sleep(10 * time.Second)
	ready := 0
	for _, l := range fleet {
		if l.ready.Load() {
			ready++
		}
	}
	if ready < fleetSize*9/10 {
		t.Errorf("%d of %d sidecars are ready after 10 s, want at least 9 in 10", ready, fleetSize)
	}
}

// A discovery service that responds slowly, but within the 3 s after which it gives up a call, is not called in vain:
// all sidecars know a change within 4 s of a new address of discovery, and within 6 s of its recovery or of the moment
// at which the watches fell silent. Guards against calls that were given up after 1.2 s and made anew, again and again.
func TestFleetReceivesCatalogFromSlowDiscovery(t *testing.T) {
	for _, disruption := range []struct {
		name   string
		within time.Duration
		// disrupt changes the catalog and disturbs the watches. It returns the instant from which the time counts.
		disrupt func(d *fleetDiscovery, fleet []*Loop, catalog string) time.Time
	}{
		{"new address", 4 * time.Second, func(d *fleetDiscovery, fleet []*Loop, catalog string) time.Time {
			d.setState(noOutage, catalog)
			d.moveFleet(fleet)
			return time.Now()
		}},
		{"two new addresses", 4 * time.Second, func(d *fleetDiscovery, fleet []*Loop, catalog string) time.Time {
			d.setState(noOutage, catalog)
			d.moveFleet(fleet)
			firstAt := time.Now()
			time.Sleep(2 * time.Second)
			d.moveFleet(fleet)
			return firstAt
		}},
		{"new address after failures", 4 * time.Second, func(d *fleetDiscovery, fleet []*Loop, catalog string) time.Time {
			d.setState(refusesConnections, "")
			time.Sleep(20 * time.Second)
			d.setState(noOutage, catalog)
			d.moveFleet(fleet)
			return time.Now()
		}},
		{"silent watches", 6 * time.Second, func(d *fleetDiscovery, _ []*Loop, catalog string) time.Time {
			d.silenceWatches(catalog)
			return time.Now()
		}},
		{"recovery", 6 * time.Second, func(d *fleetDiscovery, _ []*Loop, catalog string) time.Time {
			d.setState(refusesConnections, "")
			time.Sleep(20 * time.Second)
			d.setState(noOutage, catalog)
			return time.Now()
		}},
	} {
		for _, size := range []int{2, 8, 30, fleetSize} {
			t.Run(fmt.Sprintf("%s, %d sidecars", disruption.name, size), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					testFleetWithSlowDiscovery(t, size, disruption.within, disruption.disrupt)
				})
			})
		}
	}
}

func testFleetWithSlowDiscovery(
	t *testing.T, size int, within time.Duration, disrupt func(*fleetDiscovery, []*Loop, string) time.Time,
) {
	t.Helper()
	const slowestCall = 2900 * time.Millisecond
	const generation = 2 // of the changed catalog
	d := &fleetDiscovery{responseDelay: slowestCall - time.Duration(size)*serviceTime}
	d.setState(noOutage, nettest.CatalogJSON(1, true, nettest.InstanceJSON("s-0", "127.0.0.1:1", "up")))
	fleet, stop := d.startFleet(t, size, nettest.CachedCatalogJSON("127.0.0.1:1"))
	defer stop()
	time.Sleep(30 * time.Second)
	if n := countWithGeneration(fleet, 1); n != size {
		t.Errorf("before the disruption %d of %d sidecars have the catalog", n, size)
	}
	catalog := nettest.CatalogJSON(generation, true, nettest.InstanceJSON("s-0", "127.0.0.1:1", "draining"))
	countsFrom := disrupt(d, fleet, catalog)
	time.Sleep(time.Until(countsFrom.Add(within)))
	if n := countWithGeneration(fleet, generation); n != size {
		t.Errorf("%d of %d sidecars have the catalog after %v, want all", n, size, within)
	}
	time.Sleep(30 * time.Second)
	if n := d.openConnections(); n != size {
		t.Errorf("%d connections to discovery are open, want one for each of the %d sidecars", n, size)
	}
}

// moveFleet tells all sidecars that discovery has another address.
func (d *fleetDiscovery) moveFleet(fleet []*Loop) {
	for i, l := range fleet {
		l.enqueue(func(dispatcher *dispatcher) { dispatcher.changeDiscovery(d.newClient(i)) })
	}
}

// countWithGeneration returns how many sidecars have the endpoint list of a generation.
func countWithGeneration(fleet []*Loop, generation uint64) (n int) {
	for _, l := range fleet {
		known := make(chan uint64)
		l.enqueue(func(d *dispatcher) { known <- d.generation })
		if <-known == generation {
			n++
		}
	}
	return n
}
