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
func (l *Loop) watch(timeout time.Duration) {
	if l.stopWatch != nil {
		l.stopWatch()
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	after, client, startedAt := l.generation, l.discovery, l.clock.Now()
	l.stats.DiscoveryCalls++
	l.workers.Go(func() {
		first := true
		err := client.Watch(ctx, after, timeout, func(c discovery.Catalog) {
			latency, isFirst := l.clock.Now()-startedAt, first
			first = false
			l.enqueue(func() {
				if ctx.Err() != nil {
					return
				}
				if isFirst {
					l.stats.DiscoveryLatency = latency
				}
				l.handleCatalog(c)
			})
		})
		l.enqueue(func() {
			if ctx.Err() == nil {
				stop()
				l.handleDiscoveryError(err)
			}
		})
	})
}

// fetch asks for the whole list once.
func (l *Loop) fetch() {
	client := l.discovery
	l.workers.Go(func() {
		c, err := client.Fetch(l.ctx)
		l.enqueue(func() {
			if err != nil {
				l.handleDiscoveryError(err)
				return
			}
			l.handleCatalog(c)
		})
	})
}

// handleCatalog takes in a message of discovery. A change that is older than what is known is not taken, and the whole
// list is asked for next: only that shows whether discovery has started anew.
func (l *Loop) handleCatalog(c discovery.Catalog) {
	switch {
	case c.Reset:
		l.applyCatalog(c, balance.Snapshot)
	case c.Generation < l.generation:
		err := fmt.Errorf("%w: %d after %d", discovery.ErrOutOfOrder, c.Generation, l.generation)
		l.generation = 0
		l.stopWatch()
		l.handleDiscoveryError(err)
	default:
		l.applyCatalog(c, balance.Delta)
	}
}

func (l *Loop) handleDiscoveryError(err error) {
	l.stats.DiscoveryFailures++
	l.log.Info("discovery", "err", err)
	kind := balance.WatchFailed
	if errors.Is(err, discovery.ErrStalled) {
		kind = balance.WatchStalled
	}
	l.handle(balance.EndpointUpdate{Kind: kind})
}

// SetDiscovery moves a running sidecar to another address of discovery. A standing watch, or one that is about to be
// opened, moves at once, since the old address closes soon.
func (l *Loop) SetDiscovery(addr string) {
	l.enqueue(func() {
		l.discovery = discovery.NewClient(addr)
		l.handle(balance.EndpointUpdate{Kind: balance.SourceChanged})
		l.log.Info("reloaded", "discovery", addr)
	})
}
