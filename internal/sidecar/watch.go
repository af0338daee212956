package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/discovery"
)

// watch opens a watch of the endpoint list from the current generation on, and closes the previous watch, whose
// remaining messages are dropped. The response must begin within the timeout.
func (d *dispatcher) watch(timeout time.Duration) {
	if d.cancelWatch != nil {
		d.cancelWatch()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelWatch = cancel
	generation, client, startedAt := d.generation, d.discovery, d.clock.Now()
	d.stats.DiscoveryCalls++
	d.loop.workers.Go(func() {
		first := true
		err := client.Watch(ctx, generation, timeout, func(catalog discovery.Catalog) {
			latency, isFirst := d.clock.Now()-startedAt, first
			first = false
			d.loop.enqueue(func(d *dispatcher) {
				if ctx.Err() != nil {
					return
				}
				if isFirst {
					d.stats.DiscoveryLatency = latency
				}
				d.handleCatalog(catalog)
			})
		})
		d.loop.enqueue(func(d *dispatcher) {
			if ctx.Err() == nil {
				cancel()
				d.handleDiscoveryError(err)
			}
		})
	})
}

// fetch gets a snapshot of the endpoint list from discovery.
func (d *dispatcher) fetch() {
	client := d.discovery
	d.loop.workers.Go(func() {
		catalog, err := client.Fetch(d.ctx)
		d.loop.enqueue(func(d *dispatcher) {
			if err != nil {
				d.handleDiscoveryError(err)
				return
			}
			d.handleCatalog(catalog)
		})
	})
}

// handleCatalog applies a message from discovery, which is a snapshot or a delta. It does not apply a delta that is
// older than the current endpoint list. Instead the next watch starts at generation 0, which brings a snapshot: only a
// snapshot shows whether discovery has been restarted and counts its generations from the beginning.
func (d *dispatcher) handleCatalog(catalog discovery.Catalog) {
	switch {
	case catalog.Reset:
		d.applyCatalog(catalog, balance.Snapshot)
	case catalog.Generation < d.generation:
		err := fmt.Errorf("%w: %d after %d", discovery.ErrOutOfOrder, catalog.Generation, d.generation)
		d.generation = 0
		d.cancelWatch()
		d.handleDiscoveryError(err)
	default:
		d.applyCatalog(catalog, balance.Delta)
	}
}

// handleDiscoveryError logs that a call to discovery failed or that a watch ended, and tells the balancer.
func (d *dispatcher) handleDiscoveryError(err error) {
	d.stats.DiscoveryFailures++
	d.log.Info("discovery", "err", err)
	kind := balance.WatchFailed
	if errors.Is(err, discovery.ErrStalled) {
		kind = balance.WatchStalled
	}
	d.handle(balance.EndpointUpdate{Kind: kind})
}

// SetDiscovery changes the address of discovery while the loop runs. An open watch, or one that is about to be opened,
// is replaced at once by a watch at the new address, since discovery soon stops responding at the old address.
func (l *Loop) SetDiscovery(addr string) {
	l.enqueue(func(d *dispatcher) {
		d.discovery = discovery.NewClient(addr)
		d.handle(balance.EndpointUpdate{Kind: balance.SourceChanged})
		d.log.Info("reloaded", "discovery", addr)
	})
}
