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
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	nc, err := transient.Dial(ctx, p.dialer.DialContext, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := newConn(nc, e, addr, rt)
	go p.readLoop(c)
	return c, nil
}

// takeIdle takes the most recently used idle connection, because the endpoint is least likely to close that one.
// Connections in their quiet period are skipped. It returns nil if no connection can be reused.
func (p *Pool) takeIdle(e *Endpoint, rt *roundTrip) *conn {
	p.mu.Lock()
	now, n := time.Now(), len(e.idle)
	for n > 0 && now.Sub(e.idle[n-1].idleSince) < p.quietPeriod {
		n--
	}
	if n == 0 {
		p.mu.Unlock()
		return nil
	}
	if now.Sub(e.idle[n-1].idleSince) > e.keepAlive.idleLimit(p.idleTimeout) {
		p.mu.Unlock()
		p.CloseIdle(e) // the connections before this one have been idle for longer
		return nil
	}
	defer p.mu.Unlock()
	c := e.idle[n-1]
	e.idle = slices.Delete(e.idle, n-1, n)
	c.roundTrip = rt
	rt.connectionIdle = now.Sub(c.idleSince)
	c.SetReadDeadline(time.Time{})
	p.reuses++
	return c
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
