package upstream

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pebblelift/internal/transient"
)

// acquire returns a connection for a round trip: an idle one if there is any that can be reused, or a new one.
func (p *Pool) acquire(ctx context.Context, e *Endpoint, rt *roundTrip) (*conn, error) {
	if c := p.takeIdle(e, rt); c != nil {
		return c, nil
	}
	addr, err := p.reserveSlot(e)
	if err != nil {
		return nil, err
	}
	c, err := p.dial(ctx, e, addr, rt)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	go p.readLoop(c)
	return c, nil
}

// dial opens a connection for a round trip.
func (p *Pool) dial(ctx context.Context, e *Endpoint, addr string, rt *roundTrip) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	nc, err := transient.Dial(ctx, p.dialer.DialContext, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c, err := newConn(nc, e, addr, rt)
	if err != nil {
		nc.Close()
	}
	return c, err
}

// takeIdle takes an idle connection for a round trip. It returns nil if no connection can be reused.
func (p *Pool) takeIdle(e *Endpoint, rt *roundTrip) *conn {
	now := time.Now()
	p.mu.Lock()
	c, expired := p.popIdle(e, now)
	if c != nil {
		c.roundTrip = rt
		rt.connectionIdle = now.Sub(c.idleSince)
		c.SetReadDeadline(time.Time{})
		p.reuses++
	}
	p.mu.Unlock()
	if expired {
		p.CloseIdle(e)
	}
	return c
}

// popIdle removes the most recently used idle connection from the list, because the endpoint is least likely to close
// that one. Connections in their quiet period are skipped, and those on which anything has arrived are closed. It reports
// expired if the remaining connections have been idle for too long. The caller holds Pool.mu.
func (p *Pool) popIdle(e *Endpoint, now time.Time) (c *conn, expired bool) {
	for i, c := range slices.Backward(e.idle) {
		idle := now.Sub(c.idleSince)
		if idle < p.quietPeriod {
			continue
		}
		if idle > e.keepAlive.idleLimit(p.idleTimeout) {
			return nil, true
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if c.source.isQuiet() {
			return c, false
		}
		p.unusable++
		c.Close() // its reader goroutine, which may not have run since, then ends and removes it from the count
	}
	return nil, false
}

// reserveSlot counts a connection that is about to be opened and returns the endpoint's address. At the connection
// limit it closes the connection that has been idle the longest, or returns ErrPoolExhausted if no connection is
// idle.
func (p *Pool) reserveSlot(e *Endpoint) (addr string, err error) {
	p.mu.Lock()
	p.dials++
	addr = e.addr
	if p.open < p.options.MaxConnections {
		p.open++
		p.mu.Unlock()
		return addr, nil
	}
	oldest := p.oldestIdle()
	if oldest == nil {
		p.mu.Unlock()
		return "", fmt.Errorf("%w: limit %d", ErrPoolExhausted, p.options.MaxConnections)
	}
	oldest.endpoint.idle = oldest.endpoint.idle[1:]
	oldest.counted = false // the new connection takes over its slot in p.open
	p.mu.Unlock()
	oldest.Close()
	return addr, nil
}

// oldestIdle returns the connection to any endpoint that has been idle the longest, or nil if no connection is idle.
// The caller holds Pool.mu.
func (p *Pool) oldestIdle() *conn {
	var oldest *conn
	for e := range p.idleEndpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = e.idle[0]
		}
	}
	return oldest
}

// closeIfCurrent closes a connection if it still carries the given round trip. If the response has just arrived, the
// connection may be idle or already carry another round trip.
func (p *Pool) closeIfCurrent(c *conn, rt *roundTrip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.roundTrip == rt {
		c.Close()
	}
}

// release marks a connection as idle after a round trip. It closes the connection instead if the endpoint has moved to
// another address or takes no new requests.
func (p *Pool) release(c *conn, rt *roundTrip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.roundTrip != rt {
		return
	}
	c.roundTrip = nil
	e := c.endpoint
	if c.addr != e.addr || !e.Available() {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	c.SetReadDeadline(c.idleSince.Add(e.keepAlive.idleLimit(p.idleTimeout)))
	e.idle = append(e.idle, c)
	p.idleEndpoints[e] = struct{}{}
}

// remove deletes a connection from the idle lists and from the count of open connections. The caller holds Pool.mu.
func (p *Pool) remove(c *conn) {
	e := c.endpoint
	if i := slices.Index(e.idle, c); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
	if len(e.idle) == 0 {
		delete(p.idleEndpoints, e)
	}
	if c.counted {
		p.open--
	}
}
