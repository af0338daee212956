package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/discovery"
)

// watch opens the standing watch, in place of the one before. The messages of a watch that was replaced are dropped.
func (d *dispatcher) watch(timeout time.Duration) {
	if d.stopWatch != nil {
		d.stopWatch()
	}
	ctx, stop := context.WithCancel(d.ctx)
	d.stopWatch = stop
	after, client, startedAt := d.generation, d.discovery, d.clock.Now()
	d.stats.DiscoveryCalls++
	d.loop.workers.Go(func() {
		first := true
		err := client.Watch(ctx, after, timeout, func(c discovery.Catalog) {
			latency, isFirst := d.clock.Now()-startedAt, first
			first = false
			d.loop.enqueue(func(d *dispatcher) {
				if ctx.Err() != nil {
					return
				}
				if isFirst {
					d.stats.DiscoveryLatency = latency
				}
				d.handleCatalog(c)
			})
		})
		d.loop.enqueue(func(d *dispatcher) {
			if ctx.Err() == nil {
				stop()
				d.handleDiscoveryError(err)
			}
		})
	})
}

// fetch asks for the whole list once.
func (d *dispatcher) fetch() {
	client := d.discovery
	d.loop.workers.Go(func() {
		c, err := client.Fetch(d.ctx)
		d.loop.enqueue(func(d *dispatcher) {
			if err != nil {
				d.handleDiscoveryError(err)
				return
			}
			d.handleCatalog(c)
		})
	})
}

// handleCatalog takes in a message of discovery. A change that is older than what is known is not taken, and the whole
// list is asked for next: only that shows whether discovery has started anew.
func (d *dispatcher) handleCatalog(c discovery.Catalog) {
	switch {
	case c.Reset:
		d.applyCatalog(c, balance.Snapshot)
	case c.Generation < d.generation:
		err := fmt.Errorf("%w: %d after %d", discovery.ErrOutOfOrder, c.Generation, d.generation)
		d.generation = 0
		d.stopWatch()
		d.handleDiscoveryError(err)
	default:
		d.applyCatalog(c, balance.Delta)
	}
}

func (d *dispatcher) handleDiscoveryError(err error) {
	d.stats.DiscoveryFailures++
	d.log.Info("discovery", "err", err)
	kind := balance.WatchFailed
	if errors.Is(err, discovery.ErrStalled) {
		kind = balance.WatchStalled
	}
	d.handle(balance.EndpointUpdate{Kind: kind})
}

// SetDiscovery moves a running sidecar to another address of discovery. A standing watch, or one that is about to be
// opened, moves at once, since the old address closes soon.
func (l *Loop) SetDiscovery(addr string) {
	l.enqueue(func(d *dispatcher) {
		d.discovery = discovery.NewClient(addr)
		d.handle(balance.EndpointUpdate{Kind: balance.SourceChanged})
		d.log.Info("reloaded", "discovery", addr)
	})
}
