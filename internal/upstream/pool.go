package upstream

import (
	"net"
	"sync"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/clock"
	"pebblelift/internal/sockopt"
)

const (
	// defaultIdleTimeout is the time after which endpoints are assumed to close idle connections if the options give
	// none.
	defaultIdleTimeout = 10 * time.Second
	// defaultConnectTimeout is the time within which a connection must be established if the options give none.
	defaultConnectTimeout = time.Second
	// quietPeriod is how long a connection is not reused after a response. Some endpoints send a second response to
	// the same request, up to 4 ms after the first; on a reused connection it would be taken for the response to the
	// next request.
	quietPeriod = 20 * time.Millisecond
	// drainGraceFraction is the fraction of an endpoint's drain grace in which new attempts may start. It is below 1
	// because a request reaches the endpoint a little after it was sent.
	drainGraceFraction = 0.9
)

// Options configures a Pool.
type Options struct {
	Clock           clock.Clock    // the clock of Attempt.Deadline and Attempt.StartBefore
	Memory          *budget.Memory // what responses may take; nil for no limit
	MaxConnections  int            // limit on open connections to all endpoints together
	ConnectTimeout  time.Duration  // limit on the time to establish a connection; 0 for a default
	ConnIdleTimeout time.Duration  // time after which endpoints close idle connections; 0 for a default
	DrainGrace      float64        // how long an unavailable endpoint still takes requests, in ms
	ReportFields    []string       // names of the values in Response.LoadReport, in order

	// Control is called for each new socket before it connects, like net.Dialer.Control. It may be nil.
	Control sockopt.ControlFunc
}

// Pool holds the connections to all endpoints. Each connection carries one request at a time.
type Pool struct {
	options     Options
	dialer      net.Dialer
	idleTimeout time.Duration // time after which the pool closes an idle connection
	quietPeriod time.Duration // time after a response in which a connection is not reused

	mu            sync.Mutex
	open          int                    // open connections, including those that are being established
	idleEndpoints map[*Endpoint]struct{} // endpoints that have idle connections
	dials         int                    // see Stats.Dials
	reuses        int                    // see Stats.Reuses
	unusable      int                    // see Stats.Unusable
}

// NewPool returns a pool without any connections. It replaces zero timeouts in o by defaults.
func NewPool(o Options) *Pool {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.ConnIdleTimeout <= 0 {
		o.ConnIdleTimeout = defaultIdleTimeout
	}
	if o.Memory == nil {
		o.Memory = budget.NewMemory(0)
	}
	return &Pool{
		options:       o,
		dialer:        net.Dialer{KeepAlive: -1, Control: o.Control}, // no TCP keep-alive, as attempts have deadlines
		idleTimeout:   time.Duration(idleTimeoutFraction * float64(o.ConnIdleTimeout)),
		quietPeriod:   quietPeriod,
		idleEndpoints: map[*Endpoint]struct{}{},
	}
}

// Stats holds counts of the connections to all endpoints.
type Stats struct {
	Open   int // connections that are open now, including those that are being established
	Dials  int // attempts since the start for which no idle connection could be reused
	Reuses int // attempts since the start that reused an idle connection

	// Unusable counts the idle connections since the start that an attempt could not reuse, as they had been closed by the
	// endpoint or something had arrived on them that belongs to no request.
	Unusable int
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Dials: p.dials, Reuses: p.reuses, Unusable: p.unusable}
}

// UpdateEndpoint sets whether an endpoint takes requests and, unless addr is empty, the address (host:port) at which
// it listens. It closes the endpoint's idle connections if the address has changed or the endpoint takes no requests.
func (p *Pool) UpdateEndpoint(e *Endpoint, addr string, available bool) {
	if available {
		e.markAvailable()
	} else {
		e.markUnavailable(p.options.Clock.Now())
	}
	p.mu.Lock()
	addressChanged := addr != "" && addr != e.addr
	if addressChanged {
		e.addr = addr
	}
	p.mu.Unlock()
	if addressChanged || !available {
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
		c.Close() // its reader goroutine then ends and removes it from the count
	}
}
