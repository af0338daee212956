package balance

// This file holds what a balancer remembers, Handle and small helpers; no decisions.

import (
	"fmt"
	"math"
	"sort"
)

// listTimer is the token of the discovery timer; requests use their ID (below 2^52).
const pollTimer = 1 << 60

// Balancer is one sidecar's decision maker. It is not safe for concurrent use.
type Balancer struct {
	cfg              Config
	rng              uint64
	now              float64
	startedAt        float64
	shutdownAt       float64 // when all must be answered
	longestObjective float64 // of all classes
	actions          []Action

	endpoints        []*endpoint            // those listed, in order of ID
	rings            [ringCount][]*endpoint // ... in the order of each round of sidecars; see subset
	subsetBuffer     []*endpoint            // the present subset
	endpointByID     map[EndpointID]*endpoint
	endpointByTag    map[uint16]*endpoint // by their names in messages
	knownPeers       map[int]*peer        // sidecars that told something
	lastGossipAt     float64              // ... when one last did
	ownInFlight      float64              // mean of this sidecar's requests at servers while others were heard
	fleetInFlight    float64              // ... and of those of all sidecars
	concurrencyLimit float64              // learned concurrency limit: requests at servers, by their sizes, above which load is shed
	limitUpdatedAt   float64              // ... when it was last looked at
	utilization      float64              // recent mean of the requests at servers, by their sizes
	peakInService    float64              // most of that which lately was in service at once
	latency          fleetLatency
	scopeBuffer      []*endpoint // servers that it is told of

	refreshAt           float64         // when all that stands is told again
	weightInUse         float64         // sum of the weights of the servers in use at the last first pick, whatever their errors
	responsesPerWeight  rateMeter       // answers, each as a part of that
	machineTypeCapacity map[int]float64 // learned logarithm of size by kind
	zoneCapacity        map[int]float64 // ... and by zone
	capacityUpdates     float64         // times learn was called
	meanCapacityStep    float64         // mean step of learn
	failedPolls         int             // failed list calls in a row
	polling             bool            // subscribed, or about to be
	polledAt            float64         // when the call that is out was made; far ahead once it was answered

	requests       map[RequestID]*request
	awaitingChecks []*request // that wait for probes
	classes        []classStats
	busyFraction   float64        // recent part of probed servers that held anything
	tenants        []serviceTally // the last is for requests without a tenant

	baseShedFraction                             float64 // part of the load that is refused lastingly
	overload                                     float64 // what answers take beyond what they may, as a part of the aim
	meanLatency, latencySamples, baselineLatency float64 // recent and least mean time of answers, as a part of their aim
	requestRate, responseRate                    rateMeter
	shortTermLatency                             float64 // the same of the last few
	retryTokens                                  float64 // repeats left in the budget
	stats                                        Stats   // its counts
}

// meter counts requests or answers. It holds decayed counts of the last few of the longest aims and of
// about the last aim.
type rateMeter struct{ slowCount, fastCount, updatedAt float64 }

// rate counts some more and returns the rate a millisecond: over the last few of the longest aims and with
// some assumed; or over the last aim, where what is surely seen there is more: traffic may grow fast.
func (m *rateMeter) rate(b *Balancer, more, assumed float64) float64 {
	short, long := b.longestObjective, rateSpanObjectives*b.longestObjective
	m.fastCount = m.fastCount*math.Exp((m.updatedAt-b.now)/short) + more
	m.slowCount = m.slowCount*math.Exp((m.updatedAt-b.now)/long) + more
	m.updatedAt = b.now
	slow := (m.slowCount + assumed) / long / math.Max(-math.Expm1((b.startedAt-b.now)/long), 1e-3)
	return math.Max(slow, (m.fastCount-2*math.Sqrt(m.fastCount))/short)
}

// openLoad is what is in flight, each attempt as one over its aim, at servers that never rested since they
// last answered and at the others.
func (b *Balancer) inFlightLoad() (steady, rested float64) {
	for _, s := range b.endpoints {
		if s.ejectedUntil == 0 {
			steady += s.objectiveLoad
		} else {
			rested += s.objectiveLoad
		}
	}
	return steady, rested
}

// server is what this sidecar knows of one server.
type endpoint struct {
	Endpoint
	currentWeight   float64 // SWRR running value
	effectiveWeight float64 // in the current pick; 0: not in it
	loadKnown       bool    // in the current pick: what it holds is known as well as can be
	learnedCapacity float64 // learned logarithm of size, beyond its kind's and zone's
	inFlight        int     // own attempts
	objectiveLoad   float64 // ... each as one over its aim

	consecutiveErrors float64 // consecutive errors
	lastErrorAt       float64
	ejectedUntil      float64 // 0: not rested
	ejections         int
	unreachable       bool // the last probe got no answer
	connectionLost    bool // a connection was lost, and no answer came since
	failedConnects    int  // connections that could not be made since
	presumedDead      bool // its process died

	outlierEvidence    outlierEvidence
	pendingObservation observation
	inFlightFromPeers  float64 // other sidecars' requests at it, as they told
	announcedInFlight  int     // what this one's last message said that it has there
	gossipPending      bool    // there is news of it for the others

	warmUpSince       float64 // start of its warm-up
	slowStartTokens   float64 // sends left in the cold budget
	slowStartTokensAt float64

	checkPending     bool
	reportedInFlight float64 // requests it held at the last report
	reportedAt       float64
	sentSinceReport  float64 // own sends since
}

// pardon clears what was held against a server.
func (s *endpoint) clearOutlierState() {
	s.consecutiveErrors, s.ejections, s.ejectedUntil, s.connectionLost, s.failedConnects, s.presumedDead, s.unreachable = 0, 0, 0, false, 0, false, false
}

type attempt struct {
	endpoint    *endpoint
	sentAt      float64
	inFlight    bool
	notExecuted bool // proved never to have run
	overdue     bool
}

type request struct {
	Request
	class       *Class
	classStats  *classStats
	tenant      *serviceTally
	arrivedAt   float64
	deadline    float64
	attempts    []attempt
	inFlight    int
	closed      bool
	streaming   bool
	wakeAt      float64     // when its next timer comes
	checked     []*endpoint // asked before the first send
	checksUntil float64
}

// count takes the request into the counts of its class and tenant.
func (r *request) countArrival() {
	r.classStats.requested++
	r.tenant.requested++
}

func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if !r.attempts[i].notExecuted {
			return true
		}
	}
	return false
}

// ended counts an attempt as no longer out.
func (r *request) attemptEnded(a *attempt, res Result) {
	a.inFlight, a.notExecuted = false, res.NotExecuted()
	a.endpoint.inFlight--
	a.endpoint.objectiveLoad -= 1 / r.class.LatencyObjective
	r.inFlight--
}

func (r *request) hasChecked(s *endpoint) bool {
	for _, p := range r.checked {
		if p == s {
			return true
		}
	}
	return false
}

// classStats follows how long answers of a class take, and counts its requests.
type classStats struct {
	serviceTally
	samples, meanLatency, meanDeviation, longestTimeout, priorityWeight float64
}

// tally counts the requests of a class or tenant, and those served within the aim. Both start at 1,
// so that neither is ever 0.
type serviceTally struct{ requested, served, quotaShare float64 }

func (t *serviceTally) worseServedThan(than *serviceTally) bool {
	return t.served*than.requested < than.served*t.requested
}

// weighed is what all requests of this sidecar ask for, and who is served the least part of it.
type demandSummary struct {
	requests, weight float64
	worstClass       *classStats
	worstTenant      *serviceTally
}

func (b *Balancer) summarizeDemand() demandSummary {
	all := demandSummary{weight: 1e-9, worstClass: &b.classes[0], worstTenant: &b.tenants[0]}
	for c := range b.classes {
		all.requests += b.classes[c].requested
		all.weight += b.classes[c].requested * b.classes[c].priorityWeight
		if b.classes[c].worseServedThan(&all.worstClass.serviceTally) {
			all.worstClass = &b.classes[c]
		}
	}
	for t := range b.tenants {
		if b.tenants[t].worseServedThan(all.worstTenant) {
			all.worstTenant = &b.tenants[t]
		}
	}
	return all
}

// tenant returns the tally of a tenant; the last is for requests without one.
func (b *Balancer) tenantTally(i int) *serviceTally {
	if i < 0 || i >= len(b.cfg.Tenants) {
		i = len(b.cfg.Tenants)
	}
	return &b.tenants[i]
}

func (c *classStats) recordLatency(took float64) {
	c.samples = math.Min(c.samples+1, 300)
	c.meanLatency += (took - c.meanLatency) / c.samples
	c.meanDeviation += (math.Abs(took-c.meanLatency) - c.meanDeviation) / c.samples
}

// New returns a balancer with the given settings, completed as withDefaults tells; Start begins its life.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	b := &Balancer{
		cfg: cfg, rng: cfg.Seed, endpointByID: map[EndpointID]*endpoint{}, knownPeers: map[int]*peer{}, requests: map[RequestID]*request{},
		classes: make([]classStats, len(cfg.Classes)), tenants: make([]serviceTally, len(cfg.Tenants)+1),
		machineTypeCapacity: map[int]float64{}, zoneCapacity: map[int]float64{}, longestObjective: 1, baselineLatency: initialBaseline, busyFraction: 1,
		shutdownAt: math.Inf(1), polledAt: math.Inf(1), retryTokens: retryBudgetBurst / 2,
		concurrencyLimit: initialConcurrencyLimit, latency: fleetLatency{baseline: initialBaseline},
	}
	for i := range cfg.Classes {
		b.longestObjective = math.Max(b.longestObjective, cfg.Classes[i].LatencyObjective)
		b.classes[i].serviceTally, b.classes[i].priorityWeight = serviceTally{requested: 1, served: 1}, cfg.Classes[i].PriorityWeight
	}
	for i := range b.tenants {
		b.tenants[i] = serviceTally{requested: 1, served: 1}
		if i < len(cfg.Tenants) {
			b.tenants[i].quotaShare = cfg.Tenants[i].QuotaShare
		}
	}
	return b
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
// An error means that the event cannot be; the balancer is unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	if now > b.now && !math.IsInf(now, 1) { // time never goes back
		b.now = now
	}
	b.actions = b.actions[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		if b.requests[ev.ID] != nil {
			return nil, fmt.Errorf("request %d: the id is in use", ev.ID)
		}
		err = b.handleRequest(ev)
	case AttemptResult:
		if r := b.requests[ev.Request]; r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
			return nil, fmt.Errorf("outcome of request %d, attempt %d, which is not out", ev.Request, ev.Attempt)
		}
		ev.Latency = clampNonNegative(ev.Latency, math.MaxFloat32)
		b.handleAttemptResult(b.requests[ev.Request], ev)
	case Timer:
		b.handleTimer(ev)
	case EndpointUpdate:
		b.handleEndpointUpdate(ev)
	case HealthCheckResult:
		b.handleHealthCheckResult(ev)
	case ClientCanceled:
		if r := b.requests[ev.Request]; r != nil {
			b.closeRequest(r)
		}
	case Shutdown:
		b.handleShutdown(ev)
	case ResponseStarted:
		b.handleResponseStarted(ev)
	case GossipMessage:
		b.handleGossip(ev)
	}
	return b.actions, err
}

// Stats returns the counts since New and the present view of the load.
func (b *Balancer) Stats() Stats {
	s := b.stats
	s.BaseShedFraction, s.Overload, s.BaselineLatency, s.ShortTermLatency, s.ConcurrencyLimit = b.baseShedFraction, b.overload, b.baselineLatency, b.shortTermLatency, b.concurrencyLimit
	for _, server := range b.endpoints {
		if b.ejected(server) {
			s.Ejected++
		}
		if b.warmingUp(server) {
			s.WarmingUp++
		}
	}
	return s
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// random is splitmix64 from the seed.
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	return float64(mix64(b.rng)>>11) / (1 << 53)
}

func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func clamp(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

func (b *Balancer) handleTimer(ev Timer) {
	if ev.Token == pollTimer {
		if !b.polling { // else it has moved in between
			b.poll()
		}
	} else if ev.Token == gossipTimer {
		b.gossip()
	} else if r := b.requests[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // not compared with the clock: a timer may come a rounding error early
		b.advance(r)
	}
}

func (b *Balancer) handleResponseStarted(ev ResponseStarted) {
	if r := b.requests[ev.Request]; r != nil && !r.closed && !r.streaming {
		r.streaming = true // the client owns it now: no deadline, no repeat
		b.cancelOtherAttempts(r, ev.Attempt)
	}
}

// warmth is the least fraction of its capacity that a cold server has.
func (b *Balancer) slowStartFraction(s *endpoint) float64 {
	age := math.Max(0, b.now-s.warmUpSince) / b.cfg.SlowStartDuration
	return b.cfg.SlowStartFraction + (1-b.cfg.SlowStartFraction)*math.Min(1, age)
}

// note takes in a load report.
func (b *Balancer) recordLoadReport(s *endpoint, report []float32) {
	for i, f := range b.cfg.ReportFields {
		if i < len(report) && f == FieldInFlight && report[i] >= 0 && report[i] <= math.MaxFloat32 {
			s.reportedInFlight, s.reportedAt, s.sentSinceReport = float64(report[i]), b.now, 0
			b.busyFraction += (math.Min(s.reportedInFlight, 1) - b.busyFraction) / meanSamples
		}
	}
}

// markUnlisted: what a full list does not name is gone.
func (b *Balancer) removeUnlisted(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range b.endpoints {
		if !listed[s.ID] {
			s.Lifecycle = Removed
		}
	}
}

// dropGone forgets servers that are gone and keeps the others in order.
func (b *Balancer) dropRemoved() {
	kept := b.endpoints[:0]
	for _, s := range b.endpoints {
		if s.Lifecycle != Removed {
			kept = append(kept, s)
		} else {
			delete(b.endpointByID, s.ID)
		}
	}
	b.endpoints = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	b.rebuildTags()
	for r := range b.rings {
		if r == b.cfg.PeerIndex%ringCount || b.gossipEnabled() { // else nobody needs those of others
			b.rings[r] = buildRing(append(b.rings[r][:0], kept...), r)
		}
	}
}

// ringOf puts servers in the order of a round, which is another in each.
func buildRing(ring []*endpoint, round int) []*endpoint {
	salt := mix64(uint64(round) + 1)
	sort.SliceStable(ring, func(i, j int) bool { return mix64(uint64(ring[i].ID)+salt) < mix64(uint64(ring[j].ID)+salt) })
	return ring
}

// time follows how long answers take, as a part of their aim, and the least it has been.
func (b *Balancer) recordLatency(took float64) {
	b.latency.recordOwn(b.now, took)
	b.latencySamples = math.Min(b.latencySamples+1, meanSamples)
	b.shortTermLatency += (math.Min(took, 2) - b.shortTermLatency) / shortTermSamples
	b.meanLatency += (math.Min(took, 2) - b.meanLatency) / b.latencySamples
	if b.latencySamples == meanSamples {
		b.baselineLatency = math.Min(b.baselineLatency, b.meanLatency)
	}
}

// stepHeld takes up the requests that wait for probes and keeps those that still do.
func (b *Balancer) resumeAwaitingChecks() {
	held := b.awaitingChecks
	b.awaitingChecks = held[:0]
	for _, r := range held {
		b.advance(r)
		if !r.closed && r.checksUntil > b.now {
			b.awaitingChecks = append(b.awaitingChecks, r)
		}
	}
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	b.cancelOtherAttempts(r, -1)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// send makes an attempt and counts it.
func (b *Balancer) startAttempt(r *request, s *endpoint) {
	if len(r.attempts) > 0 {
		b.retryTokens--
	}
	s.slowStartTokens--
	s.inFlight++
	s.sentSinceReport++
	s.objectiveLoad += 1 / r.class.LatencyObjective
	r.inFlight++
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: b.now, inFlight: true})
	b.emit(Action{Kind: StartAttempt, Request: r.ID, Endpoint: s.ID})
}
