package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pebblelift/internal/discovery"
)

const (
	fleetSize       = 300                  // number of sidecars in a large fleet
	serviceTime     = 8 * time.Millisecond // how long discovery takes to serve one call
	maxQueueingTime = 3 * time.Second      // discovery fails a call that would have to wait longer than this
)

// outageKind says how discovery treats calls during an outage.
type outageKind string

const (
	noOutage           outageKind = ""
	refusesConnections outageKind = "refuses connections"
	closesConnections  outageKind = "closes connections"
	neverResponds      outageKind = "never responds" // calls stay open without a response until the outage ends
	sendsHeadersOnly   outageKind = "sends response headers only"
)

// fleetDiscovery simulates a discovery service that serves the calls of many sidecars one after the other, in virtual
// time.
type fleetDiscovery struct {
	responseDelay time.Duration // time from the end of a call's service to its response

	mu           sync.Mutex
	outage       outageKind
	catalog      string
	busyUntil    time.Time         // when all calls so far have been served
	notifiedAt   map[int]time.Time // when each sidecar got the current catalog, by peer index
	open         map[net.Conn]bool
	stateChanged chan struct{} // closed by the next setState
	silenced     chan struct{} // closed by the next silenceWatches
}

// setState begins or ends an outage and sets the catalog. All open connections are closed.
func (d *fleetDiscovery) setState(outage outageKind, catalog string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = outage
	d.catalog = catalog
	d.notifiedAt = map[int]time.Time{}
	d.busyUntil = time.Now()
	if d.stateChanged != nil {
		close(d.stateChanged)
	}
	d.stateChanged = make(chan struct{})
	for c := range d.open {
		c.Close()
	}
	d.open = map[net.Conn]bool{}
	d.silenced = make(chan struct{})
}

// silenceWatches makes all open connections silent, without closing them, and sets the catalog.
func (d *fleetDiscovery) silenceWatches(catalog string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalog = catalog
	d.notifiedAt = map[int]time.Time{}
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// openConnections returns the number of open connections.
func (d *fleetDiscovery) openConnections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// close closes a connection.
func (d *fleetDiscovery) close(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Close()
	delete(d.open, c)
}

// dial opens a connection from the sidecar with the given peer index.
func (d *fleetDiscovery) dial(peerIndex int) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outage == refusesConnections {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	d.open[server] = true
	go d.serve(server, peerIndex, d.outage, d.stateChanged, d.silenced)
	return client, nil
}

// serve serves the one call on a connection.
func (d *fleetDiscovery) serve(
	c net.Conn, peerIndex int, outage outageKind, stateChanged, silenced <-chan struct{},
) {
	defer d.close(c)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil || outage == closesConnections {
		return
	}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	disconnected := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c)
		close(disconnected)
	}()
	// wait waits for a while, and reports whether the call is still open afterwards.
	wait := func(duration time.Duration) bool {
		select {
		case <-time.After(duration):
			return true
		case <-stateChanged:
		case <-disconnected:
		}
		return false
	}
	if outage == sendsHeadersOnly {
		io.WriteString(c, head)
	}
	if outage != noOutage {
		wait(time.Hour)
		return
	}
	catalog, queueingTime := d.enqueueCall()
	if queueingTime > maxQueueingTime {
		wait(maxQueueingTime)
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if !wait(queueingTime + d.responseDelay) {
		return
	}
	if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", head, len(catalog)+1, catalog); err != nil {
		return
	}
	d.markNotified(peerIndex, catalog)
	for wait(2 * time.Second) {
		select {
		case <-silenced:
			wait(time.Hour)
			return
		default:
			io.WriteString(c, "1\r\n\n\r\n") // a heartbeat
		}
	}
}

// enqueueCall puts a call behind those that are waiting. It returns the catalog for the response and the time until the
// call has been served. A call that would have to wait for more than maxQueueingTime is not queued.
func (d *fleetDiscovery) enqueueCall() (catalog string, queueingTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	queueingTime = d.busyUntil.Sub(now) + serviceTime
	if queueingTime <= maxQueueingTime {
		d.busyUntil = d.busyUntil.Add(serviceTime)
	}
	return d.catalog, queueingTime
}

// markNotified records when a sidecar first got a catalog, if that is still the current one.
func (d *fleetDiscovery) markNotified(peerIndex int, catalog string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, alreadyNotified := d.notifiedAt[peerIndex]; !alreadyNotified && d.catalog == catalog {
		d.notifiedAt[peerIndex] = time.Now()
	}
}

// notified returns how many sidecars have the current catalog, and when the last of them got it.
func (d *fleetDiscovery) notified() (n int, last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.notifiedAt {
		if at.After(last) {
			last = at
		}
	}
	return len(d.notifiedAt), last
}

// newClient returns a client of the discovery service for the sidecar with the given peer index.
func (d *fleetDiscovery) newClient(peerIndex int) *discovery.Client {
	dial := func(context.Context, string, string) (net.Conn, error) { return d.dial(peerIndex) }
	return discovery.NewClientWithDialer("127.0.0.1:1", dial)
}
