package upstream

import (
	"math"
	"sync/atomic"
)

// Endpoint is one endpoint as its connections see it. Its zero value has no address.
type Endpoint struct {
	// unavailableSince is when the sidecar was notified that the endpoint drains or is removed, as the bits of a
	// clock time; 0: it takes requests.
	unavailableSince atomic.Uint64

	// Guarded by Pool.mu.
	addr      string
	idle      []*conn // newest last
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

// drainGraceOver reports whether the time in which requests may still begin is as good as over.
func (e *Endpoint) drainGraceOver(now, grace float64) bool {
	since := math.Float64frombits(e.unavailableSince.Load())
	return since > 0 && now >= since+drainGracePart*grace
}
