package upstream

import (
	"math"
	"sync/atomic"
)

// Endpoint is the address, the availability and the idle connections of one endpoint. The zero value has no address
// and is available; Pool.UpdateEndpoint sets both.
type Endpoint struct {
	// unavailableSince is the time at which the sidecar was notified that the endpoint drains or is removed: the bits
	// (math.Float64bits) of a time of Options.Clock in ms. It is 0 while the endpoint takes requests.
	unavailableSince atomic.Uint64

	// The following fields are guarded by Pool.mu.
	addr      string
	idle      []*conn // in the order of idleSince, the most recently used last
	keepAlive keepAliveEstimator
}

// Available reports whether the endpoint takes new requests.
func (e *Endpoint) Available() bool { return e.unavailableSince.Load() == 0 }

func (e *Endpoint) markAvailable() { e.unavailableSince.Store(0) }

func (e *Endpoint) markUnavailable(now float64) {
	if e.Available() {
		e.unavailableSince.Store(math.Float64bits(now))
	}
}

// drainGraceExpired reports whether an unavailable endpoint no longer takes new attempts at now (clock time in ms). An
// endpoint takes them for drainGraceFraction of the drain grace (ms) after it became unavailable.
func (e *Endpoint) drainGraceExpired(now, grace float64) bool {
	since := math.Float64frombits(e.unavailableSince.Load())
	return since > 0 && now >= since+drainGraceFraction*grace
}
