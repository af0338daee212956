package upstream

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// acquire reuses an idle connection for a round trip, or opens one.
func (p *Pool) acquire(ctx context.Context, e *Endpoint, x *roundTrip) (*conn, error) {
	if c := p.reuse(e, x); c != nil {
		return c, nil
	}
	addr, err := p.reserve(e)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := newConn(nc, e, addr, x)
	go p.readLoop(c)
	return c, nil
}

// reuse takes the newest idle connection, which is the least likely to be closed by the endpoint, but skips
// those in their quiet period. It returns nil if there is none.
func (p *Pool) reuse(e *Endpoint, x *roundTrip) *conn {
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
		p.CloseIdle(e) // the others were idle for longer
		return nil
	}
	defer p.mu.Unlock()
	c := e.idle[n-1]
	e.idle = slices.Delete(e.idle, n-1, n)
	c.exchange = x
	x.connectionIdle = now.Sub(c.idleSince)
	c.SetReadDeadline(time.Time{})
	p.reuses++
	return c
}

// reserve counts a new connection and returns the endpoint's address. At the bound it closes the connection that has
// been idle the longest.
func (p *Pool) reserve(e *Endpoint) (addr string, err error) {
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
		return "", fmt.Errorf("%w: %d", ErrPoolExhausted, p.options.MaxConnections)
	}
	oldest.endpoint.idle = oldest.endpoint.idle[1:]
	oldest.counted = false // the new one is counted in its place
	p.mu.Unlock()
	oldest.Close()
	return addr, nil
}

// oldestIdle is the connection that has been idle the longest; nil: none is idle. The caller holds mu.
func (p *Pool) oldestIdle() *conn {
	var oldest *conn
	for e := range p.idleEndpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = e.idle[0]
		}
	}
	return oldest
}

// abandon closes a connection, but only while it carries the round trip: its response may have just come, and the
// connection may carry another by now.
func (p *Pool) abandon(c *conn, x *roundTrip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.exchange == x {
		c.Close()
	}
}

// release makes a connection idle, if it is of further use.
func (p *Pool) release(c *conn, x *roundTrip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.exchange != x {
		return
	}
	c.exchange = nil
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

// remove counts a connection off. The caller holds mu.
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
