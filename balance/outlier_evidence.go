package balance

import "math"

const (
	evidenceExpiry        = 4000 // ms after which failures at an endpoint are forgotten
	fleetEjectionFailures = 3    // that all sidecars saw before an endpoint is ejected
	maxFleetFailures      = 6    // that count: an endpoint that is back must not stay ejected for long
	failureDecay          = 0.7  // part of them that is left after each response
	ejectionExtension     = 800  // ms at most for which an endpoint stays ejected, as it failed peers again
	minExtensionPart      = 0.25 // of it at the least
)

// outlierEvidence is what all sidecars that were heard, this one included, lately saw of an endpoint.
type outlierEvidence struct {
	failures     float64 // fewer with each response
	updatedAt    float64
	lastReporter int  // the peer index of the sidecar that reported the last one
	corroborated bool // more than one sidecar reported them
	unreachable  bool // some of them made no connection
}

// observation is what one sidecar saw of an endpoint.
type observation struct {
	failures    float64
	responded   bool
	unreachable bool // a connection failed
}

func (v *outlierEvidence) refresh(now float64) {
	if now-v.updatedAt > evidenceExpiry {
		*v = outlierEvidence{}
	}
	v.updatedAt = now
}

func (v *outlierEvidence) addFailures(reporter int, seen observation) {
	if seen.failures <= 0 {
		return
	}
	v.corroborated = v.corroborated || v.failures > 0 && reporter != v.lastReporter
	v.failures = math.Min(v.failures+seen.failures, maxFleetFailures)
	v.lastReporter = reporter
	v.unreachable = v.unreachable || seen.unreachable
}

// failing reports whether more than one sidecar lately got hardly anything but failures.
func (v *outlierEvidence) failing(now float64) bool {
	return v.failures >= fleetEjectionFailures && v.corroborated && now-v.updatedAt <= evidenceExpiry
}

// down reports whether the endpoint fails and takes no connections: its process died.
func (v *outlierEvidence) down(now float64) bool { return v.unreachable && v.failing(now) }

// recordObservation takes in what this sidecar saw, for itself and for gossip. A response is reported
// after failures only.
func (b *Balancer) recordObservation(e *endpoint, seen observation) {
	pending := &e.gossip.observation
	pending.failures += seen.failures
	pending.responded = pending.responded || seen.responded && e.evidence.failures > 0
	pending.unreachable = pending.unreachable || seen.unreachable
	b.mergeObservation(e, b.cfg.PeerIndex, seen)
}

// mergeObservation adds to the evidence on an endpoint. An endpoint that failed more than one sidecar
// is ejected before this one has sent it anything, and stays so while it fails others; once it responds to
// others it is used again.
func (b *Balancer) mergeObservation(e *endpoint, reporter int, seen observation) {
	e.evidence.refresh(b.now)
	e.evidence.addFailures(reporter, seen)
	wasDown := e.evidence.down(b.now)
	if seen.responded {
		e.evidence.failures *= failureDecay
	}
	if reporter != b.cfg.PeerIndex {
		b.followPeers(e, seen)
	}
	if wasDown && !e.evidence.down(b.now) && !b.slowStart.warmingUp(e, b.now) {
		b.beginSlowStart(e, b.now) // discovery has yet to report the restart
	}
}

// followPeers ejects an endpoint, or ends its ejection, by what peers saw.
func (b *Balancer) followPeers(e *endpoint, seen observation) {
	failing, failed, ejected := e.evidence.failing(b.now), seen.failures > 0, e.outlier.ejected(b.now)
	switch {
	case failing && failed && ejected:
		extension := ejectionExtension * (minExtensionPart + (1-minExtensionPart)*b.random.float64())
		e.outlier.ejectedUntil = math.Max(e.outlier.ejectedUntil, b.now+extension)
	case failing && failed && !b.mostEjected():
		b.eject(e)
	case !failing && seen.responded && ejected:
		e.outlier.ejectedUntil = b.now
	}
}
