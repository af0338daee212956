package downstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/sidecar"
)

const (
	// freeRefusals is how many requests in a row may be refused before the connection shares the rate of refusals with
	// others.
	freeRefusals = 4
)

// serveRequest hands a request to the event loop and writes its response. It refuses the request if others take all
// processor time or memory.
func (c *conn) serveRequest(w *work) {
	if !c.begin(w) {
		w.memory.Release()
		c.server.stats.refused.Add(1)
		c.respond(w, errorResponse(http.StatusServiceUnavailable, errNoMemory))
		c.restAfterRefusal()
		return
	}
	defer c.server.memory.Release(budget.Requests, requestCost)
	w.request.Decided = sync.OnceFunc(c.server.starts.Release)
	response, err := c.server.loop.Do(c.ctx, w.request)
	w.request.Decided()
	w.request.Forwarded.Body = nil
	w.memory.Release()
	defer response.Release()
	switch {
	case errors.Is(err, sidecar.ErrNotAccepted), errors.Is(err, sidecar.ErrMayHaveRun):
		c.respond(w, errorResponse(http.StatusConflict, err))
	case err != nil: // the client or the event loop has gone
		c.addUse(func(use *sidecar.ClientUse) { use.Canceled++ })
		c.close()
		return
	default:
		c.proven.Store(response.Result == balance.OK)
		c.respond(w, finalResponse(response))
	}
	if response.Result != balance.OK || err != nil {
		c.restAfterRefusal()
		return
	}
	c.refusalsInARow = 0
}

// begin waits for the memory of a request and for its turn to be started, in which clients whose last request was served
// go first. It reports whether the request may start now.
func (c *conn) begin(w *work) bool {
	if c.server.awaitMemory(c, budget.Requests, requestCost, c.server.longestStartWait(&w.request)) != nil {
		return false
	}
	if c.server.starts.TryAcquire() {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.server.longestStartWait(&w.request))
	defer cancel()
	if c.server.starts.Acquire(ctx, c.proven.Load()) != nil {
		c.server.memory.Release(budget.Requests, requestCost)
		return false
	}
	return true
}

// restAfterRefusal lets a connection rest whose requests are not served. While many connections have only such
// requests, they share a rate.
func (c *conn) restAfterRefusal() {
	now := time.Now()
	wait := c.refusals.Take(now)
	if c.refusalsInARow++; c.refusalsInARow > freeRefusals {
		wait = max(wait, c.server.refusals.TakeWithin(now, maxHold))
	}
	c.pause(wait)
}
