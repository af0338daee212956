package balance

import "math"

const (
	// evidenceExpiry is the time in ms after which the failures that sidecars saw at an endpoint are
	// forgotten. The time counts from the endpoint's last response to this sidecar, its last error or the
	// last gossip about it, whichever is latest.
	evidenceExpiry = 4000

	// fleetFailuresToEject is the number of recent failures at an endpoint, counted over all sidecars and
	// reduced by each response, at which the endpoint counts as failing, provided that more than one sidecar
	// saw failures. A peer's report of new failures ejects the endpoint if the endpoint counts as
	// failing, unless at least half of the endpoints are ejected.
	fleetFailuresToEject = 3

	// maxFleetFailures is the upper bound on the count of recent failures that all sidecars saw at one
	// endpoint. The bound keeps an endpoint that works again from staying ejected for long.
	maxFleetFailures = 6

	// failureDecayFactor is the factor by which the count of recent failures that all sidecars saw at an
	// endpoint is multiplied with each response of the endpoint to this sidecar, and with each gossip
	// message of a peer that reports responses.
	failureDecayFactor = 0.7

	// maxEjectionExtension is the longest extension, in ms, of the ejection of a failing endpoint after a
	// peer has reported new failures: the ejection ends no earlier than a random time after the report,
	// which is at most maxEjectionExtension.
	maxEjectionExtension = 800

	// minExtensionRatio is the lower bound of the random extension of an ejection after a peer has reported
	// new failures, as a fraction of the upper bound maxEjectionExtension.
	minExtensionRatio = 0.25
)

// outlierEvidence is what this sidecar and the peers whose gossip it received recently saw of one endpoint.
type outlierEvidence struct {
	failures     float64 // recent failures; reduced by each response
	updatedAt    float64 // last update, in ms
	lastReporter int     // peer index of the sidecar that reported the last failure
	corroborated bool    // more than one sidecar reported failures
	unreachable  bool    // at least one failure was a failed connection attempt
}

// observation is what one sidecar saw of one endpoint.
type observation struct {
	failures    float64 // number of failures
	responded   bool    // at least one response came
	unreachable bool    // at least one failure was a failed connection attempt
}

// expire drops evidence older than evidenceExpiry and sets the time of the last update to now.
func (v *outlierEvidence) expire(now float64) {
	if now-v.updatedAt > evidenceExpiry {
		*v = outlierEvidence{}
	}
	v.updatedAt = now
}

// addFailures adds the failures that a sidecar, given by its peer index, has seen.
func (v *outlierEvidence) addFailures(reporter int, observed observation) {
	if observed.failures <= 0 {
		return
	}
	v.corroborated = v.corroborated || v.failures > 0 && reporter != v.lastReporter
	v.failures = math.Min(v.failures+observed.failures, maxFleetFailures)
	v.lastReporter = reporter
	v.unreachable = v.unreachable || observed.unreachable
}

// isFailing reports whether more than one sidecar recently saw failures, of which at least
// fleetFailuresToEject still count after the reductions for responses in between.
func (v *outlierEvidence) isFailing(now float64) bool {
	return v.failures >= fleetFailuresToEject && v.corroborated && now-v.updatedAt <= evidenceExpiry
}

// appearsDead reports whether the endpoint's process appears to have died: the endpoint is failing and at
// least one connection attempt failed.
func (v *outlierEvidence) appearsDead(now float64) bool { return v.unreachable && v.isFailing(now) }

// recordObservation records what this sidecar saw of an endpoint, both for its own use and for its next
// gossip message. Responses are gossiped only if failures preceded them.
func (b *Balancer) recordObservation(e *endpoint, observed observation) {
	pending := &e.gossip.observation
	pending.failures += observed.failures
	pending.responded = pending.responded || observed.responded && e.evidence.failures > 0
	pending.unreachable = pending.unreachable || observed.unreachable
	b.mergeObservation(e, b.cfg.PeerIndex, observed)
}

// mergeObservation adds what a sidecar, given by its peer index, saw of an endpoint to the evidence. An
// endpoint at which more than one sidecar saw failures is ejected even if this sidecar has sent no attempts
// to the endpoint. The endpoint stays ejected while peers report failures, and is used again once peers
// report responses.
func (b *Balancer) mergeObservation(e *endpoint, reporter int, observed observation) {
	e.evidence.expire(b.now)
	e.evidence.addFailures(reporter, observed)
	appearedDead := e.evidence.appearsDead(b.now)
	if observed.responded {
		e.evidence.failures *= failureDecayFactor
	}
	if reporter != b.cfg.PeerIndex {
		b.applyPeerObservation(e, observed)
	}
	if appearedDead && !e.evidence.appearsDead(b.now) && !b.slowStart.warmingUp(e, b.now) {
		b.beginSlowStart(e, b.now) // discovery has not reported the restart yet
	}
}

// applyPeerObservation ejects an endpoint, or extends or ends its ejection, after a peer's observation.
func (b *Balancer) applyPeerObservation(e *endpoint, observed observation) {
	failing, failed, ejected := e.evidence.isFailing(b.now), observed.failures > 0, e.outlier.ejected(b.now)
	switch {
	case failing && failed && ejected:
		extension := maxEjectionExtension * (minExtensionRatio + (1-minExtensionRatio)*b.random.float64())
		e.outlier.ejectedUntil = math.Max(e.outlier.ejectedUntil, b.now+extension)
	case failing && failed && !b.mostEjected():
		b.eject(e)
	case !failing && observed.responded && ejected:
		e.outlier.ejectedUntil = b.now
	}
}
