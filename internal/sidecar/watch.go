package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/discovery"
)

// watchCall is a call to discovery for a watch, from its start to its end. Only the loop's goroutine uses it.
type watchCall struct {
	cancel       context.CancelFunc
	startedAt    float64 // ms
	overdueTimer *time.Timer
	overdue      bool // the balancer knows that the call is overdue
	superseded   bool // discovery has another address by now
	opened       bool // the response has begun
	hasMessage   bool // the first message was handled
}

// watch opens a watch of the endpoint list from the current generation on. The call is reported as overdue if its
// response has not begun after the given time. Earlier calls without a response stay open beside it, because discovery
// may only be slow; the first response decides which call becomes the watch.
func (d *dispatcher) watch(overdueAfter time.Duration) {
	d.endWatchCalls(func(call *watchCall) bool { return call.opened && !call.superseded })
	ctx, cancel := context.WithCancel(d.ctx)
	call := &watchCall{cancel: cancel, startedAt: d.clock.Now()}
	d.watchCalls = append(d.watchCalls, call)
	d.stats.DiscoveryCalls++
	// whileOpen queues f unless the call has been ended by then.
	whileOpen := func(f func(d *dispatcher)) {
		d.loop.enqueue(func(d *dispatcher) {
			if ctx.Err() == nil {
				f(d)
			}
		})
	}
	call.overdueTimer = time.AfterFunc(overdueAfter, func() {
		whileOpen(func(d *dispatcher) { d.handleWatchOverdue(call) })
	})
	handlers := discovery.WatchHandlers{
		Opened: func() { whileOpen(func(d *dispatcher) { d.handleWatchOpened(call) }) },
		Catalog: func(catalog discovery.Catalog) {
			whileOpen(func(d *dispatcher) { d.handleWatchMessage(call, catalog) })
		},
	}
	generation, client := d.generation, d.discovery
	d.loop.workers.Go(func() {
		err := client.Watch(ctx, generation, discovery.CallTimeout, handlers)
		whileOpen(func(d *dispatcher) { d.handleWatchEnd(call, err) })
	})
}

// handleWatchOverdue tells the balancer that a call has no response yet.
func (d *dispatcher) handleWatchOverdue(call *watchCall) {
	if call.opened || call.superseded {
		return
	}
	call.overdue = true
	d.stats.DiscoveryOverdue++
	d.log.Info("discovery", "overdue_ms", d.clock.Now()-call.startedAt)
	d.handle(balance.EndpointUpdate{Kind: balance.WatchOverdue})
}

// handleWatchOpened makes a call whose response has begun the only one, and tells the balancer. A call to an earlier
// address cannot take this place, because it will end soon.
func (d *dispatcher) handleWatchOpened(call *watchCall) {
	call.opened = true
	call.overdueTimer.Stop()
	if call.superseded {
		return
	}
	d.endWatchCalls(func(other *watchCall) bool { return other != call })
	d.handle(balance.EndpointUpdate{Kind: balance.WatchOpened})
}

// handleWatchMessage applies a message of a watch.
func (d *dispatcher) handleWatchMessage(call *watchCall, catalog discovery.Catalog) {
	if !call.hasMessage {
		call.hasMessage = true
		d.stats.DiscoveryLatency = d.clock.Now() - call.startedAt
	}
	if call.superseded && catalog.Generation < d.generation {
		return // the call to the present address brings what is newer
	}
	d.handleCatalog(catalog)
}

// handleWatchEnd handles the end of a call. The balancer is not told if it expects nothing more of the call: it has
// arranged for another one when the call was overdue or the address of discovery changed.
func (d *dispatcher) handleWatchEnd(call *watchCall, err error) {
	d.endWatchCalls(func(other *watchCall) bool { return other == call })
	if call.superseded || call.overdue && !call.opened {
		d.logDiscoveryError(err)
		return
	}
	d.handleDiscoveryError(err)
}

// endWatchCalls ends the calls for which the condition holds. Nothing more of these calls is handled.
func (d *dispatcher) endWatchCalls(condition func(*watchCall) bool) {
	d.watchCalls = slices.DeleteFunc(d.watchCalls, func(call *watchCall) bool {
		ends := condition(call)
		if ends {
			call.overdueTimer.Stop()
			call.cancel()
		}
		return ends
	})
}

// endAllWatchCalls ends all calls for a watch.
func (d *dispatcher) endAllWatchCalls() { d.endWatchCalls(func(*watchCall) bool { return true }) }

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
		d.endAllWatchCalls()
		d.handleDiscoveryError(err)
	default:
		d.applyCatalog(catalog, balance.Delta)
	}
}

// logDiscoveryError logs that a call to discovery failed or that a watch ended.
func (d *dispatcher) logDiscoveryError(err error) {
	d.stats.DiscoveryFailures++
	d.log.Info("discovery", "err", err)
}

// handleDiscoveryError logs that a call to discovery failed or that a watch ended, and tells the balancer.
func (d *dispatcher) handleDiscoveryError(err error) {
	d.logDiscoveryError(err)
	kind := balance.WatchFailed
	if errors.Is(err, discovery.ErrStalled) {
		kind = balance.WatchStalled
	}
	d.handle(balance.EndpointUpdate{Kind: kind})
}

// SetDiscovery changes the address of discovery while the loop runs. A watch is opened at the new address at once.
// Until its response begins, calls to the old address, which discovery closes soon, may still bring changes.
func (l *Loop) SetDiscovery(addr string) {
	l.enqueue(func(d *dispatcher) {
		d.changeDiscovery(discovery.NewClient(addr))
		d.log.Info("reloaded", "discovery", addr)
	})
}

// changeDiscovery replaces the client of discovery and opens a watch with it.
func (d *dispatcher) changeDiscovery(client *discovery.Client) {
	for _, call := range d.watchCalls {
		call.superseded = true
	}
	d.discovery = client
	d.handle(balance.EndpointUpdate{Kind: balance.SourceChanged})
}
