// Package balance takes the decisions of one sidecar's load balancer: which server gets a
// request, when it is tried again, when it is refused. What goes in and out (Config, events,
// Action) is in api.go; what is remembered, and Handle, which calls the functions below, in state.go.
//
// The mechanism is AWRR (health-weighted round robin): each server has a multiplier m that falls with its
// consecutive errors and recovers with time; smooth weighted round robin over size × m picks
// the server; a failed repeatable request goes to the untried server of highest m.
package balance

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	errorHalfLife                    = 5000 // ms; errors lose half their weight in this time: troubles last seconds, not minutes
	errorPenalty                     = 0.2  // m lost for each consecutive error
	nonIdempotentMinHealth           = 0.9  // what must not run twice goes to no server of lower m while there are others
	minHealth                        = 0.25 // m never falls below this, so that a recovered server is found again
	overdueDeviations                = 4    // mean deviations above the mean of its class at which an attempt is overdue
	ejectionErrors                   = 3    // consecutive errors before a server is rested
	deathFailedConnects              = 2    // connections not made, after which a server that lost one is held to have died
	capacityStep                     = 0.01 // step of a server's size for each answer; its kind and zone move with half of it
	maxLogCapacity                   = 2.5  // bound of each learned logarithm of size
	boundedLoadFactor                = 0.7  // a server above this multiple of its share of the requests in flight is passed over
	maxRetries                       = 1    // re-routes of a request: more of them multiply the load when it is too high already
	retryBudgetRatio                 = 0.2  // repeats a request may add to the budget: a slow fleet is not made slower by them
	retryBudgetBurst                 = 10   // ... and the most that is saved up
	queueAllowance                   = 0.25 // part of the aim beyond the quickest answers that queues may take: else load is shed
	initialBaseline                  = 0.33 // held to be the quickest until answers tell
	meanSamples                      = 50   // answers or reports over which a mean is taken
	shortTermSamples                 = 10   // ... and the few that tell whether the load is felt at all
	immediateShedGain                = 4    // part of the load to shed at once, per aim that answers take too long
	baseShedGain                     = 0.04 // ... and lastingly, more for each request
	lowTrafficRequests               = 5    // requests in an aim under which each counts for more: they follow the load slowly
	maxShedFraction                  = 0.95 // never all: answers are needed to see that the load is gone
	rateSpanObjectives               = 8    // span of the rates of answers and requests, in longest aims
	assumedResponses                 = 2    // assumed beside the recent answers of a sidecar that has hardly any
	trustedLoadFraction              = 0.85 // part of the requests in flight that is held against the rate of answers
	zonePreferenceDecay              = 4    // the favour for the own zone ends where answers are slower by 1/4 of the aim
	maxQuotaFraction                 = 2    // a tenant counts as at most this far under its share
	similarValueFactor               = 1.25 // values within this factor are shed alike, so that no tenant pays for a tiny excess
	connectionsPerEndpoint           = 16   // connections a server is to hold when each sidecar uses only its least subset
	connectionsPerEndpointWithGossip = 5    // ... and where sidecars tell each other what servers hold: fewer are enough then
	minSubset                        = 3    // servers in a subset: enough to re-route when some of them fail together
	subsetPerRequest                 = 0.5  // ... and for each request within the longest aim: busy sidecars spread their load
	ringCount                        = 8    // orders of the servers, so that neighbours in one have different ones in the others
	healthCheckSpend                 = 0.03 // part of the result that probes for each request may cost
	reportFreshness                  = 0.05 // part of the aim that a first send waits for probes, and that reports are believed
	allBusyProbability               = 0.01 // chance that all probed servers are busy, at which no more are probed
	zonePreference                   = 400  // weight added to a server of the own zone, times the price of crossing zones
	initialLearningBoost             = 8    // times faster that sizes are learned at first: restarted sidecars know none
	minRetryAfter                    = 0.05 // part of the aim for which a refused client is to hold off at least
	maxRetryAfter                    = 0.25 // ... and at most: else its later try is too late
	minPollBackoff                   = 500  // ms within which a failed list call is made again at the least; doubles each time
	discoveryCallTime                = 60   // ms of discovery's time for a call, at the most that was seen
	minWatchTimeout                  = 1200 // ms to wait for discovery's answer at first: time is left for another call
	maxWatchTimeout                  = 3500 // ... and at most: it gives calls up itself after 3 s
	notificationDeadline             = 6000 // ms after which a change counts as told, by the terms, once discovery can be reached
	discoveryAnswerTime              = 1000 // ... the part of it kept for discovery's answer
	stallDetectionTime               = 2500 // ... and the part in which silence is noticed
	minAgentBackoff                  = 20   // ms between two calls to an agent at the least
	agentPollsPerGrace               = 4    // calls to an agent within the time that the drain rule leaves, at the least
)

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.startedAt, b.limitUpdatedAt, b.actions = now, now, now, b.actions[:0]
	if b.cfg.Subscribe {
		b.schedulePoll(math.Min(b.pollSpread(), b.timeToNextPoll(0))) // all sidecars may have been started together
	}
	b.scheduleGossip()
	return b.actions
}

// ask subscribes to the list, at the start and after a failed call: changes cost less than whole lists. The
// next answer is awaited for longer where one did not come: discovery may just be slow.
func (b *Balancer) poll() {
	b.polling, b.polledAt = true, b.now
	wait := math.Max(minWatchTimeout, b.pollSpread()) * float64(int(1)<<min(b.failedPolls, 4))
	b.emit(Action{Kind: Watch, Delay: math.Min(wait, maxWatchTimeout)})
}

func (b *Balancer) handleRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], classStats: &b.classes[ev.Class],
		tenant: b.tenantTally(ev.Tenant), arrivedAt: b.now, wakeAt: math.Inf(1),
	}
	r.deadline = math.Min(b.now+clampNonNegative(ev.Timeout, r.class.Deadline), b.shutdownAt)
	b.requests[ev.ID] = r
	admitted := b.admit(r)
	r.countArrival() // only now: else its own class would look a little worse served
	b.requestRate.rate(b, 1, 0)
	b.retryTokens = math.Min(b.retryTokens+retryBudgetRatio, retryBudgetBurst)
	if !admitted {
		b.finishUnserved(r)
		return nil
	}
	b.startHealthChecks(r)
	b.advance(r)
	return nil
}

// admit sheds load that the fleet cannot answer within the aims, before anything is sent. Attempts in
// flight over the rate of answers tell how long answers take now (Little's law), sooner than they do.
func (b *Balancer) admit(r *request) bool {
	load, hung := b.inFlightLoad()
	if hung > load { // what hangs at a few servers is their trouble; at most of them it is overload
		load += hung
	}
	took := trustedLoadFraction * load / b.responseRate.rate(b, 0, assumedResponses) // as a part of the aim
	full := b.baselineLatency + queueAllowance*(1-b.baselineLatency)                 // the work and a part of the rest
	over := math.Min(math.Min(took, 2*b.shortTermLatency), 2) - full                 // a few meet by chance
	b.overload = over
	hurry := clamp(lowTrafficRequests/(b.requestRate.rate(b, 0, 0)*b.longestObjective), 1, lowTrafficRequests)
	b.baseShedFraction = clamp(b.baseShedFraction+baseShedGain*hurry*over, 0, maxShedFraction)
	shed := clamp(b.baseShedFraction+immediateShedGain*over, 0, math.Min(maxShedFraction, 2*b.baseShedFraction)) // not by chance alone
	if b.hasFreshGossip() {
		shed = b.fleetShedFraction()
		b.baseShedFraction = shed
	} else if b.gossipLost() {
		shed = math.Max(shed, b.fleetShedFraction())
	}
	if b.pastObjective(r) && b.baseShedFraction >= r.class.LateWeight {
		b.stats.PastObjective++
		return false
	}
	if shed > 0 && b.random() < b.shedProbability(r, shed) {
		b.stats.Shed++
		return false
	}
	return true
}

// late: a client's later try whose aim has passed already, as the time left tells: where first tries have
// more, it is what is left of the deadline. Only first tries tell that: some later ones take all there is.
func (b *Balancer) pastObjective(r *request) bool {
	if !b.cfg.ClientsMarkRetries || !r.IsRetry {
		r.classStats.longestTimeout = math.Max(r.classStats.longestTimeout, r.Timeout)
	}
	if b.cfg.ClientsMarkRetries && !r.IsRetry {
		return false
	}
	return r.Timeout < 0.99*r.classStats.longestTimeout && r.Timeout <= r.class.Deadline-r.class.LatencyObjective
}

// shedPart spreads the load to shed over classes and tenants, those first whose answers add least to
// the goal for their work; the goal weighs the worst-served class and tenant on their own.
func (b *Balancer) shedProbability(r *request, shed float64) float64 {
	all := b.summarizeDemand()
	value := func(class *classStats, tenant *serviceTally) float64 {
		v := (b.cfg.Goal.Overall + b.cfg.Goal.WorstWindow) * class.priorityWeight / all.weight
		if class == all.worstClass {
			v += b.cfg.Goal.WorstClass / class.requested
		}
		v *= b.quotaFraction(tenant, all.requests)
		if tenant == all.worstTenant {
			v += b.cfg.Goal.WorstTenant * class.priorityWeight / all.weight * all.requests / tenant.requested
		}
		return v / math.Max(class.meanLatency, 1e-3)
	}
	total, below, like, own := 0.0, 0.0, 1e-3, value(r.classStats, r.tenant)
	for c := range b.classes {
		for t := range b.tenants {
			work := b.classes[c].requested * b.classes[c].meanLatency * b.tenants[t].requested
			total += work
			if v := value(&b.classes[c], &b.tenants[t]); v*similarValueFactor < own {
				below += work
			} else if v < own*similarValueFactor {
				like += work
			}
		}
	}
	return (shed*total - below) / like
}

// inShare tells how much of a tenant's traffic counts in full, by its share of this sidecar's requests.
func (b *Balancer) quotaFraction(t *serviceTally, asked float64) float64 {
	if t.quotaShare <= 0 {
		return 1
	}
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*math.Min(t.quotaShare*asked/t.requested, maxQuotaFraction)
}

// probeFor asks the servers next in turn what they hold before a first send, where only probes tell.
func (b *Balancer) startHealthChecks(r *request) {
	if !b.cfg.HealthChecks || b.cfg.ReportSource != ReportHealthCheck {
		return
	}
	fan := b.healthCheckFanout()
	pool := b.subset()
	for len(r.checked) < fan {
		var next *endpoint
		for _, s := range pool {
			free := b.eligible(r, s) && !b.ejected(s) && !r.hasChecked(s)
			if free && (next == nil || s.currentWeight > next.currentWeight) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.checked = append(r.checked, next)
		if !next.checkPending {
			next.checkPending = true
			b.emit(Action{Kind: HealthCheck, Endpoint: next.ID})
		}
	}
	if len(r.checked) == 0 { // nothing to wait for, and no probe's end that would let go of it
		return
	}
	r.checksUntil = b.now + reportFreshness*r.class.LatencyObjective
	b.awaitingChecks = append(b.awaitingChecks, r)
}

// fan is how many servers to probe so that hardly ever all of them are busy, within what it may cost.
func (b *Balancer) healthCheckFanout() int {
	most := healthCheckSpend / math.Max(b.cfg.Penalties.HealthCheck, 1e-3)
	return int(math.Min(most, math.Ceil(math.Log(allBusyProbability)/math.Log(clamp(b.busyFraction, 0.01, 0.99)))))
}

func (b *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	s := b.endpointByID[ev.Endpoint]
	if s == nil {
		return
	}
	if s.checkPending = false; ev.Result != OK { // out of reach: it may run, but nothing gets through from here
		b.eject(s)
		s.unreachable = true
	} else if b.recordLoadReport(s, ev.LoadReport); s.unreachable {
		s.unreachable, s.ejections, s.ejectedUntil = false, 0, 0
	}
	b.resumeAwaitingChecks()
}

// held reports whether a request still waits for its probes; it never waits for long.
func (b *Balancer) awaitingResults(r *request) bool {
	for _, s := range r.checked {
		if s.checkPending && b.now < r.checksUntil {
			return true
		}
	}
	r.checksUntil = 0
	return false
}

// step looks at a request afresh: it sends, answers or waits.
func (b *Balancer) advance(r *request) {
	if r.closed || r.streaming {
		return
	}
	b.markOverdue(r)
	if b.now >= r.deadline || r.inFlight == 0 && b.retryExhausted(r) {
		if len(r.attempts) > 0 {
			b.stats.RetriesExhausted++
		} else {
			b.stats.NotSent++
		}
		b.finishUnserved(r)
		return
	}
	if r.inFlight == 0 && !b.awaitingResults(r) {
		if s := b.pickEndpoint(r, len(r.attempts) > 0); s != nil {
			b.startAttempt(r, s)
		}
	}
	b.scheduleWake(r)
}

// onStop brings the end of each request's time forward to the end of the process.
func (b *Balancer) handleShutdown(ev Shutdown) {
	b.shutdownAt = b.now + clampNonNegative(ev.Timeout, math.MaxFloat64)
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		if r.deadline = math.Min(r.deadline, b.shutdownAt); !r.closed && !r.streaming {
			b.scheduleWake(r)
		}
	}
}

// hopeless: nothing more can be sent for the request, or it is no use to wait for a server.
func (b *Balancer) retryExhausted(r *request) bool {
	if len(r.attempts) >= b.cfg.MaxAttempts || len(r.attempts) > maxRetries || len(r.attempts) > 0 && b.retryTokens < 1 {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		forgotten := r.class.Idempotency == IdempotentWithKey && b.now >= a.sentAt+r.class.DedupWindow
		if !a.notExecuted && (r.class.Idempotency == NonIdempotent || forgotten) {
			return true
		}
	}
	return b.now >= r.arrivedAt+r.class.LatencyObjective && b.safeToReject(r) && r.class.LateWeight <= b.baseShedFraction
}

// answer ends a request unserved: refused where that is harmless, else failed.
func (b *Balancer) finishUnserved(r *request) {
	if b.safeToReject(r) {
		b.emit(Action{Kind: Reject, Request: r.ID, Delay: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID})
	}
	b.closeRequest(r)
}

// holdOff is when a refused client should come back: once what answers take too long now has passed. To hold
// off for longer makes the later try too late, and its work is wasted.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	at := r.class.LatencyObjective * clamp(b.overload, minRetryAfter, maxRetryAfter)
	if b.cfg.MaxRetryAfter > 0 {
		at = math.Min(at, b.cfg.MaxRetryAfter)
	}
	return at
}

// refusable guards against double effects: a refused request is tried again by its client.
func (b *Balancer) safeToReject(r *request) bool {
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll || !r.mayHaveExecuted()
}

// pick is the ordinary path: smooth weighted round robin over the servers that may have the
// request. A repeat goes to the healthiest untried one, which is charged in the rotation too.
func (b *Balancer) pickEndpoint(r *request, repeat bool) *endpoint {
	pool := b.subset()
	total := b.assignWeights(pool, r, repeat, false)
	if total == 0 && len(pool) < len(b.endpoints) { // the subset may not have it: a key stays in its cell
		pool = b.endpoints
		total = b.assignWeights(pool, r, repeat, false)
	}
	if total == 0 { // all rest: the cause is hardly theirs
		total = b.assignWeights(pool, r, repeat, true)
	}
	held, shares := 1.0, 0.0
	for _, s := range pool {
		if s.effectiveWeight > 0 && s.loadKnown {
			held += b.inFlightAt(s)
			shares += s.effectiveWeight
		}
	}
	var best *endpoint
	bestOver := false
	for _, s := range pool {
		if s.effectiveWeight == 0 || b.warmingUp(s) && !b.hasSlowStartBudget(s) {
			continue
		}
		// Bounded load: a server that holds more than its share is slow, hung or filled by others,
		// whatever its errors say. It is passed over and keeps its running value for later.
		over := !s.loadKnown || b.inFlightAt(s)+1 > math.Ceil(boundedLoadFactor*held*s.effectiveWeight/shares)
		over = over || b.hasFreshGossip() && b.atCapacity(s)
		if best == nil || bestOver && !over || over == bestOver && b.ranksBefore(s, best, repeat, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		best.currentWeight = math.Max(best.currentWeight-total, -total)
	}
	return best
}

// subset is what this sidecar rotates over: over the whole fleet, connections passed the servers' caps. It
// starts at its place in a ring, is as wide as its traffic asks for, and goes on past members that rest.
func (b *Balancer) subset() []*endpoint {
	width := math.Max(b.minSubsetSize(), subsetPerRequest*b.requestRate.rate(b, 0, 0)*b.longestObjective)
	if width >= float64(len(b.endpoints)) {
		return b.endpoints
	}
	ring, start := b.ringPosition(b.cfg.PeerIndex)
	b.subsetBuffer = b.subsetBuffer[:0]
	for i := 0; i < len(ring) && width > 0; i++ {
		s := ring[(start+i)%len(ring)]
		b.subsetBuffer = append(b.subsetBuffer, s)
		if s.Lifecycle == Ready && !b.ejected(s) {
			width--
		}
	}
	return b.subsetBuffer
}

// leastSubset is how wide a subset is without any traffic.
func (b *Balancer) minSubsetSize() float64 {
	each := float64(connectionsPerEndpoint)
	if b.gossipEnabled() {
		each = connectionsPerEndpointWithGossip
	}
	return math.Max(minSubset, each*float64(len(b.endpoints))/float64(b.cfg.PeerCount))
}

// place is where the subset of a sidecar starts: its ring and the place in it.
func (b *Balancer) ringPosition(number int) (ring []*endpoint, start int) {
	inRound := math.Ceil(float64(b.cfg.PeerCount) / ringCount)
	start = int(float64(len(b.endpoints)) * math.Mod(float64(number/ringCount)/inRound, 1))
	return b.rings[number%ringCount], start
}

// enter sets the weights of this pick, grows the running values and returns the sum of weights.
func (b *Balancer) assignWeights(pool []*endpoint, r *request, repeat, all bool) float64 {
	total, inUse, fresh := 0.0, 0.0, false
	for _, s := range pool {
		s.effectiveWeight = 0
		if s.Lifecycle == Ready && !b.ejected(s) {
			inUse += b.weightOf(s) / b.healthMultiplier(s)
		}
		if !b.eligible(r, s) || !all && (b.ejected(s) || r.class.Idempotency == NonIdempotent && b.healthMultiplier(s) < nonIdempotentMinHealth) {
			continue
		}
		s.effectiveWeight = b.weightOf(s)
		total += s.effectiveWeight
		s.loadKnown = b.reportFresh(s)
		fresh = fresh || s.loadKnown
	}
	for _, s := range pool {
		s.loadKnown = s.loadKnown || !fresh // without any report, the own requests in flight are all there is
		if !repeat {
			s.currentWeight = math.Min(s.currentWeight+s.effectiveWeight, total)
		}
	}
	if !repeat && inUse > 0 {
		b.weightInUse = inUse
	}
	return total
}

// before tells which of two goes first: where all are over their share, for a first send the least filled.
func (b *Balancer) ranksBefore(s, best *endpoint, repeat, over bool) bool {
	if over && !repeat {
		return (b.inFlightAt(s)+1)*best.effectiveWeight < (b.inFlightAt(best)+1)*s.effectiveWeight
	}
	ms, mb := b.healthMultiplier(s), b.healthMultiplier(best)
	return repeat && ms > mb || (!repeat || ms == mb) && s.currentWeight > best.currentWeight
}

// allowed: the rules let this request go to this server now.
func (b *Balancer) eligible(r *request, s *endpoint) bool {
	if s.Lifecycle != Ready {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.endpoint == s {
			return false
		}
		if a.notExecuted || r.class.Idempotency != IdempotentWithKey {
			continue
		}
		// A keyed request that may have run stays where the key is known, while it is known.
		if b.now >= a.sentAt+r.class.DedupWindow || r.class.DedupScope == DedupCell && a.endpoint.Cell != s.Cell ||
			r.class.DedupScope == DedupZone && a.endpoint.Zone != s.Zone {
			return false
		}
	}
	return true
}

// weight is size × m, lowered while the server warms up.
func (b *Balancer) weightOf(s *endpoint) float64 {
	w := 100 * s.NominalCapacity * math.Exp(s.learnedCapacity+b.machineTypeCapacity[s.MachineType]+b.zoneCapacity[s.Zone]) * b.healthMultiplier(s)
	if s.Zone == b.cfg.Zone { // exception: answers from elsewhere cost a price, which delay soon outweighs
		ease := 1 - zonePreferenceDecay*math.Max(0, b.meanLatency-b.baselineLatency)
		w *= 1 + zonePreference*b.cfg.Penalties.CrossZone*math.Max(0, ease)
	}
	if b.warmingUp(s) {
		w *= b.slowStartFraction(s)
	}
	return math.Max(w, 1e-6)
}

// health is the multiplier m.
func (b *Balancer) healthMultiplier(s *endpoint) float64 {
	effective := s.consecutiveErrors * math.Exp(-math.Ln2*(b.now-s.lastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// holds is how many requests a server holds: by a fresh report and what was sent since, or this sidecar's.
func (b *Balancer) inFlightAt(s *endpoint) float64 {
	if b.reportFresh(s) {
		return s.reportedInFlight + s.sentSinceReport
	}
	return float64(s.inFlight)
}

func (b *Balancer) reportFresh(s *endpoint) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= reportFreshness*b.longestObjective
}

func (b *Balancer) warmingUp(s *endpoint) bool { return b.now < s.warmUpSince+b.cfg.SlowStartDuration }

// coldBudget is a hard limit of sends to a cold server, re-routes included: half of the allowed multiple of
// what servers of its weight answer of this sidecar's requests, as they did when those were answered: what
// others leave, as they died or are not trusted with what must not run twice, is no budget. Answers count,
// not requests, which clients repeat in overload, and few are assumed: else small sidecars broke the rule.
func (b *Balancer) hasSlowStartBudget(s *endpoint) bool {
	fill := b.responsesPerWeight.rate(b, 0, 1/math.Max(b.weightInUse, s.effectiveWeight)) * s.effectiveWeight * math.Max(1, b.cfg.OverloadFactor/2)
	most := math.Max(1, fill*b.cfg.OverloadWindow/4)
	s.slowStartTokens, s.slowStartTokensAt = math.Min(s.slowStartTokens+fill*(b.now-s.slowStartTokensAt), most), b.now
	return s.slowStartTokens >= 1
}

// resting: it left several attempts without an answer, or is out of reach. Then it takes its turn again.
func (b *Balancer) ejected(s *endpoint) bool { return b.now < s.ejectedUntil }

// markOverdue counts an attempt far slower than its class as an error: a hung server would show too late.
func (b *Balancer) markOverdue(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.overdue && b.now >= a.sentAt+b.overdueAfter(r) {
			a.overdue = true
			b.recordError(a.endpoint, false)
			if b.shouldReplaceOverdue(r) {
				b.emit(Action{Kind: CancelAttempt, Request: r.ID, Attempt: i})
			}
		}
	}
}

// better: an overdue attempt is worth giving up, as a hung server never answers: the request may run again
// and can still be in time elsewhere. Not while load is shed: servers go on with what was given up.
func (b *Balancer) shouldReplaceOverdue(r *request) bool {
	if !b.cfg.CancelAttempts || r.class.Idempotency != Idempotent || r.inFlight != 1 || b.baseShedFraction > 0 || b.retryExhausted(r) ||
		b.now+r.classStats.meanLatency > r.arrivedAt+r.class.LatencyObjective {
		return false
	}
	for _, s := range b.endpoints {
		if b.eligible(r, s) && !b.ejected(s) {
			return true
		}
	}
	return false
}

// overdueAfter goes by what the class's answers take now: in a crowd all are late, by no server's fault.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.classStats.samples < 5 {
		return r.class.LatencyObjective / 2
	}
	return r.classStats.meanLatency + overdueDeviations*r.classStats.meanDeviation
}

// fault counts an error against m; a server rests at once when away, else after several, ever longer.
func (b *Balancer) recordError(s *endpoint, away bool) {
	s.consecutiveErrors, s.lastErrorAt = s.consecutiveErrors+1, b.now
	b.recordObservation(s, observation{failures: 1, unreachable: away})
	b.learnCapacity(s, 3)
	if away || s.consecutiveErrors >= ejectionErrors {
		b.eject(s)
	}
}

func (b *Balancer) eject(s *endpoint) {
	s.ejectedUntil = b.now + b.longestObjective*float64(int(1)<<min(s.ejections, 3))
	s.ejections++
}

// cancelOthers gives up what is still out for a request but for one attempt: it earns nothing any more.
func (b *Balancer) cancelOtherAttempts(r *request, keep int) {
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != keep && b.cfg.CancelAttempts {
			b.emit(Action{Kind: CancelAttempt, Request: r.ID, Attempt: i})
		}
	}
}

func (b *Balancer) handleAttemptResult(r *request, ev AttemptResult) {
	a := &r.attempts[ev.Attempt]
	r.attemptEnded(a, ev.Result)
	b.recordAttemptResult(r, a, ev)
	if r.closed || ev.RequestClosed || r.streaming {
		b.closeRequest(r)
	}
	b.advance(r)
}

// judge draws from an outcome what it says of the server and of the load.
func (b *Balancer) recordAttemptResult(r *request, a *attempt, ev AttemptResult) {
	s := a.endpoint
	switch ev.Result {
	case OK:
		if s.presumedDead && !b.warmingUp(s) { // it died and is back: a restart that the list has yet to tell
			b.beginSlowStart(s, b.now)
		}
		s.clearOutlierState()
		b.recordObservation(s, observation{answered: true})
		b.responseRate.rate(b, 1, 0)
		b.responsesPerWeight.rate(b, 1/math.Max(b.weightInUse, 1e-6), 0)
		b.recordLatency(ev.Latency / r.class.LatencyObjective)
		if b.now <= r.arrivedAt+r.class.LatencyObjective {
			r.classStats.served++
			r.tenant.served++
		}
		if r.classStats.samples > 0 {
			b.learnCapacity(s, ev.Latency/r.classStats.meanLatency)
		}
		r.classStats.recordLatency(ev.Latency)
	case Canceled, NotSent:
	default:
		if ev.Result == TimedOut { // else the slowest answers of all would never be seen
			b.recordLatency(ev.Latency / r.class.LatencyObjective)
		}
		away := ev.Result == ConnectFailed
		if away || !a.overdue {
			b.recordError(s, away)
		}
		// One that died lost its connections and took no new ones. Either alone befalls live ones too: full
		// tables refuse, and networks reset.
		if s.connectionLost = s.connectionLost || ev.Result == Reset; away {
			s.failedConnects++
		}
		s.presumedDead = s.connectionLost && s.failedConnects >= deathFailedConnects
	}
}

// learn moves the learned size of a server, its kind and its zone until answers take equally long everywhere;
// took is relative to the class. The mean step is taken off: what all servers share is load, not size.
func (b *Balancer) learnCapacity(s *endpoint, took float64) {
	if b.warmingUp(s) {
		return
	}
	step := math.Max(-2, 1-took)
	b.meanCapacityStep += (step - b.meanCapacityStep) / 200
	b.capacityUpdates++
	step = capacityStep * (1 + initialLearningBoost/(1+b.capacityUpdates/meanSamples)) * (step - b.meanCapacityStep)
	s.learnedCapacity = clamp(s.learnedCapacity+step, -maxLogCapacity, maxLogCapacity)
	b.machineTypeCapacity[s.MachineType] = clamp(b.machineTypeCapacity[s.MachineType]+step/2, -maxLogCapacity, maxLogCapacity)
	b.zoneCapacity[s.Zone] = clamp(b.zoneCapacity[s.Zone]+step/2, -maxLogCapacity, maxLogCapacity)
}

// wake sets a timer for the next moment at which the request must be looked at.
func (b *Balancer) scheduleWake(r *request) {
	next := r.deadline
	if r.checksUntil > b.now {
		next = math.Min(next, r.checksUntil)
	} else if r.inFlight == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.BatchInterval, r.class.LatencyObjective/20))
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.overdue {
			next = math.Min(next, a.sentAt+b.overdueAfter(r))
		}
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), Delay: math.Max(0, next-b.now)})
	}
}

func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	switch ev.Kind {
	case WatchFailed:
		b.pollAfterFailure()
		return
	case WatchStalled: // what is missed counts as told some seconds later: they are needed for the next call
		b.polling = false
		b.schedulePoll(math.Min(b.pollSpread(), b.timeToNextPoll(stallDetectionTime)))
		return
	case SourceChanged:
		b.poll()
		return
	case Snapshot, CachedSnapshot:
		b.removeUnlisted(ev.Endpoints)
	}
	b.failedPolls, b.polledAt = 0, math.Inf(1)
	for i := range ev.Endpoints {
		b.updateEndpoint(&ev.Endpoints[i])
	}
	b.dropRemoved()
}

// update takes in one entry. A restart clears what was held against the server.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	s := b.endpointByID[entry.ID]
	if s == nil {
		if entry.Lifecycle == Removed {
			return
		}
		// A random start keeps sidecars that begin together from choosing in step.
		s = &endpoint{currentWeight: 100 * b.random(), warmUpSince: math.Inf(-1)}
		b.endpointByID[entry.ID] = s
		b.endpoints = append(b.endpoints, s)
	}
	if entry.StartedAt > s.StartedAt {
		s.clearOutlierState()
		s.currentWeight = 0
		b.beginSlowStart(s, math.Min(entry.StartedAt, b.now))
	}
	s.Endpoint = *entry
	if !(s.NominalCapacity > 0) || math.IsInf(s.NominalCapacity, 1) {
		s.NominalCapacity = 1
	}
}

// chill begins a server's warm-up. The first budget is random, so that the first sends of all
// sidecars do not meet.
func (b *Balancer) beginSlowStart(s *endpoint, since float64) {
	s.warmUpSince, s.slowStartTokens, s.slowStartTokensAt = since, b.random(), b.now
}

// askAgain calls again within a growing time, in which discovery can answer all sidecars: they fail together.
func (b *Balancer) pollAfterFailure() {
	b.polling = false
	if b.failedPolls++; b.cfg.LocalAgent {
		b.schedulePoll(clamp(b.cfg.DrainGrace/agentPollsPerGrace, minAgentBackoff, minPollBackoff))
		return
	}
	b.schedulePoll(math.Min(b.timeToNextPoll(0), math.Max(minPollBackoff, b.pollSpread())*float64(int(1)<<min(b.failedPolls-1, 4))))
}

// askLeft is the time for the next call, after so much has passed: discovery may be back since the failed
// call began, and what changes then counts as told a while later. One that took longer than any was answered.
func (b *Balancer) timeToNextPoll(passed float64) float64 {
	if call := b.now - b.polledAt; call < 2*maxWatchTimeout {
		passed = math.Max(passed, call)
	}
	return math.Max(minPollBackoff, notificationDeadline-discoveryAnswerTime-passed)
}

// askSpan is the time in which discovery can answer all sidecars. An agent answers just one.
func (b *Balancer) pollSpread() float64 {
	if b.cfg.LocalAgent {
		return 0
	}
	return discoveryCallTime * float64(b.cfg.PeerCount)
}

// askWithin calls at a random moment: calls made in step wait for each other, fail, and are made again
// in step. Its random numbers are its own: requests go the same ways whenever discovery is called. However
// many sidecars there are, one that has not asked for long counts as told of what it never heard.
func (b *Balancer) schedulePoll(span float64) {
	if b.cfg.PollInterval > 0 {
		span = math.Min(span, b.cfg.PollInterval/2)
	}
	own := Balancer{rng: b.cfg.Seed ^ uint64(pollTimer+b.failedPolls)}
	b.emit(Action{Kind: SetTimer, Token: pollTimer, Delay: span * own.random()})
}
