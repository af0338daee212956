package upstream

import (
	"net"
	"sync"
	"syscall"
	"time"

	"pebblelift/internal/clock"
)

const (
	defaultIdleTimeout    = 10 * time.Second
	defaultConnectTimeout = time.Second
	// quietPeriod is how long a connection is left alone after a response: second responses came up to 4 ms behind
	// the first.
	quietPeriod = 20 * time.Millisecond
	// drainGracePart of the drain grace is left for requests to begin: the endpoint sees them a little later.
	drainGracePart = 0.9
)

// Options configure a Pool.
type Options struct {
	Clock           clock.Clock
	MaxConnections  int
	ConnectTimeout  time.Duration // 0: a default
	ConnIdleTimeout time.Duration // after which endpoints close idle connections; 0: a default
	DrainGrace      float64       // ms in which requests may begin after an endpoint became unavailable
	ReportFields    []string      // the names of the values of load reports, in order

	// Control is called for each new socket before it connects, as net.Dialer.Control; nil: nothing is.
	Control func(network, address string, c syscall.RawConn) error
}

// Pool holds the connections to all endpoints. They carry one request at a time.
type Pool struct {
	options     Options
	dialer      net.Dialer
	idleTimeout time.Duration
	quietPeriod time.Duration

	mu            sync.Mutex
	open          int
	idleEndpoints map[*Endpoint]struct{} // those with idle connections
	dials         int
	reuses        int
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.ConnIdleTimeout <= 0 {
		o.ConnIdleTimeout = defaultIdleTimeout
	}
	return &Pool{
		options:       o,
		dialer:        net.Dialer{KeepAlive: -1, Control: o.Control}, // attempts have deadlines of their own
		idleTimeout:   time.Duration(idleFraction * float64(o.ConnIdleTimeout)),
		quietPeriod:   quietPeriod,
		idleEndpoints: map[*Endpoint]struct{}{},
	}
}

// Stats counts connections.
type Stats struct {
	Open   int
	Dials  int // since the start
	Reuses int // since the start
}

// Stats returns the counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Dials: p.dials, Reuses: p.reuses}
}

// UpdateEndpoint sets where an endpoint listens, if an address is given, and whether it takes requests. Idle
// connections that are of no more use are closed.
func (p *Pool) UpdateEndpoint(e *Endpoint, addr string, available bool) {
	if available {
		e.markAvailable()
	} else {
		e.markUnavailable(p.options.Clock.Now())
	}
	p.mu.Lock()
	moved := addr != "" && addr != e.addr
	if moved {
		e.addr = addr
	}
	p.mu.Unlock()
	if moved || !available {
		p.CloseIdle(e)
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(e *Endpoint) {
	p.mu.Lock()
	idle := e.idle
	e.idle = nil
	delete(p.idleEndpoints, e)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close() // its reader goroutine ends and counts it off
	}
}
