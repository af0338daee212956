package balance

import "math"

// Idempotency tells whether a request may run more than once.
type Idempotency uint8

// The idempotency of a class of requests.
const (
	// Idempotent means that requests may be repeated any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey means that requests carry an idempotency key: endpoints drop a repeated key within
	// its DedupScope and DedupWindow.
	IdempotentWithKey
	// NonIdempotent means that a request must never run twice.
	NonIdempotent
)

// DedupScope tells which endpoints recognize a repeated idempotency key and drop the repetition.
type DedupScope uint8

// The scopes in which endpoints recognize a repeated idempotency key.
const (
	DedupAll  DedupScope = iota // every endpoint recognizes a repeated key
	DedupZone                   // only endpoints of the zone that first got a key recognize its repetition
	DedupCell                   // only endpoints of the cell that first got a key recognize its repetition
)

// Class describes one class of requests.
type Class struct {
	// Idempotency tells whether a request of the class may run more than once.
	Idempotency Idempotency
	// DedupScope tells which endpoints recognize a repeated idempotency key of the class.
	DedupScope DedupScope
	// DedupWindow is the time in ms for which endpoints remember an idempotency key, counted from the first
	// attempt that may have run. A negative value or NaN means forever.
	DedupWindow float64
	// LatencyObjective is the time in ms from its arrival in which a request must be answered for the
	// response to have its full value. The default is Deadline.
	LatencyObjective float64
	// ObjectivePerWork is the time in ms by which the objective of a request grows for each ms of its work.
	ObjectivePerWork float64
	// Deadline is the longest time in ms that a client waits for a response, over all its retries. The
	// default is LatencyObjective.
	Deadline float64
	// PriorityWeight is the value of a response within the latency objective, relative to other classes.
	PriorityWeight float64
	// LateWeight is the fraction, from 0 to 1, of PriorityWeight that a response after the latency objective
	// has.
	LateWeight float64
	// Stream is set if the responses of the class are streamed.
	Stream bool
}

// Tenant describes one customer of the service.
type Tenant struct {
	// QuotaRate is the number of requests per second, over all sidecars, that are within the tenant's quota.
	QuotaRate float64
	// QuotaShare is the fraction, from 0 to 1, of the service that is within the tenant's quota; 0 means that
	// there is no quota.
	QuotaShare float64
}

// ReportSource tells how load reports reach a sidecar.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone        ReportSource = iota // endpoints send no load reports
	ReportPiggyback                       // load reports come in the responses to attempts
	ReportHealthCheck                     // load reports come in the results of health checks
)

// ReportField identifies one value of a load report.
type ReportField uint8

// The fields of load reports. The balancer uses FieldInFlight only.
const (
	FieldUnknown     ReportField = iota // a value of unknown meaning, which the balancer skips
	FieldInFlight                       // the number of requests that the endpoint is handling
	FieldQueue                          // the number of requests that wait at the endpoint
	FieldUtilization                    // the fraction of the endpoint's CPU that is in use, from 0 to 1
	FieldLatency                        // the recent service time of the endpoint's requests in ms
	FieldRate                           // the number of requests that the endpoint serves per second
	FieldErrorRate                      // the number of errors of the endpoint per second
)

// Config holds the settings of a Balancer. New replaces unusable values by defaults.
type Config struct {
	// Seed is the seed of the balancer's random numbers. Balancers with the same settings, seed and events
	// return the same actions.
	Seed uint64
	// PeerIndex is the index of this sidecar among all sidecars, from 0.
	PeerIndex int
	// PeerCount is the number of all sidecars, including this one.
	PeerCount int
	// Zone is the number of the zone that this sidecar runs in.
	Zone int
	// Classes describes the classes of requests; Request.Class is an index into it.
	Classes []Class
	// Tenants describes the tenants; Request.Tenant is an index into it.
	Tenants []Tenant
	// OverQuotaWeight is the fraction, from 0 to 1, of its value that a request beyond its tenant's quota
	// has.
	OverQuotaWeight float64
	// BatchInterval is the shortest time in ms between two batches of events from the caller.
	BatchInterval float64

	// Subscribe is set if the sidecar itself has to poll discovery for the endpoint list or watch it.
	Subscribe bool
	// LocalAgent is set if discovery is an agent of this sidecar alone. The sidecar then counts as notified
	// of a change at the moment of the change.
	LocalAgent bool
	// ReportSource tells how load reports reach the sidecar.
	ReportSource ReportSource
	// ReportFields identifies the values of a load report, in their order.
	ReportFields []ReportField

	// ClientsMarkRetries is set if clients mark their retries as such; see Request.IsRetry.
	ClientsMarkRetries bool
	// MaxAttempts is the largest number of attempts that a request may have, including the first.
	MaxAttempts int
	// Hedging is set if two attempts of a request may be in flight at the same time.
	Hedging bool
	// CancelAttempts is set if attempts in flight may be canceled.
	CancelAttempts bool
	// HealthChecks is set if the sidecar may send health checks to endpoints.
	HealthChecks bool
	// Gossip is set if sidecars may send gossip messages to each other.
	Gossip bool
	// RetryAfter is set if rejections carry Retry-After.
	RetryAfter bool
	// MaxRetryAfter is the longest Retry-After, in ms, that clients follow; 0 means that there is no limit.
	MaxRetryAfter float64
	// ConnectTimeout is the time in ms in which a connection to an endpoint must be made.
	ConnectTimeout float64

	// DrainGrace is the time in ms, from the moment at which an endpoint starts draining or is removed, after
	// which the endpoint must get no more attempts.
	DrainGrace float64
	// SlowStartFraction is the minimum fraction of its capacity, from 0 to 1, that an endpoint has when its
	// process starts. The default is 1.
	SlowStartFraction float64
	// SlowStartDuration is the time in ms from the start of its process after which an endpoint has its whole
	// capacity.
	SlowStartDuration float64
	// OverloadFactor is the multiple of its capacity that makes a warming-up endpoint fail if the endpoint
	// gets this load for OverloadWindow.
	OverloadFactor float64
	// OverloadWindow is the time in ms after which a warming-up endpoint fails under a load of OverloadFactor
	// times its capacity.
	OverloadWindow float64
	// PollInterval is the longest time in ms between two polls of discovery for a sidecar without a watch.
	PollInterval float64
	// ResponseSlack is the time in ms after the client's deadline in which a response still counts.
	ResponseSlack float64

	// Goal weighs the parts of the service level, which decides which load is shed.
	Goal Goal
	// Penalties holds the costs that lower the service level.
	Penalties Penalties
}

// Goal weighs the parts of the service level. The balancer sheds first the load that adds least to the goal.
// The weights have no unit.
type Goal struct {
	// Overall is the weight of the service level over all requests.
	Overall float64
	// WorstWindow is the weight of the service level in the worst time window.
	WorstWindow float64
	// WorstClass is the weight of the service level of the worst-served class.
	WorstClass float64
	// WorstTenant is the weight of the service level of the worst-served tenant.
	WorstTenant float64
}

// Penalties holds the costs that lower the service level. Each cost is a fraction of the service level per
// unit of what the field names; 0 means that there is no cost.
type Penalties struct {
	// CrossZone is the cost of responses from endpoints outside the sidecar's zone.
	CrossZone float64
	// Waste is the cost of work at endpoints that serves no client.
	Waste float64
	// Handshake is the cost of new connections to endpoints.
	Handshake float64
	// HealthCheck is the cost of one health check per request, as a fraction of the service level.
	HealthCheck float64
	// Gossip is the cost of gossip messages.
	Gossip float64
	// LateFailure is the cost of requests that fail late.
	LateFailure float64
}

// defaultDeadline is the deadline and the latency objective, in ms, of a class that specifies neither.
const defaultDeadline = 1000

// withDefaults returns a copy of the settings in which unusable values are replaced by defaults. Every number
// that is negative, infinite or NaN counts as not given. The defaults are: the latency objective equals the
// deadline and vice versa; an idempotency key is remembered forever; a request has one attempt; there is one
// sidecar; an endpoint starts with its whole capacity; the goal is the overall service level.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		c.Classes[i].setDefaults()
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		zeroInvalid(&c.Tenants[i].QuotaRate, &c.Tenants[i].QuotaShare)
	}
	zeroInvalid(&c.OverQuotaWeight, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace,
		&c.SlowStartDuration, &c.OverloadFactor, &c.OverloadWindow, &c.PollInterval, &c.ResponseSlack)
	zeroInvalid(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	zeroInvalid(&c.Penalties.CrossZone, &c.Penalties.Waste, &c.Penalties.Handshake, &c.Penalties.HealthCheck,
		&c.Penalties.Gossip, &c.Penalties.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.PeerCount = max(c.PeerCount, 1)
	c.PeerIndex = max(c.PeerIndex, 0)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	return c
}

// setDefaults replaces unusable values of the class by defaults.
func (c *Class) setDefaults() {
	zeroInvalid(&c.LatencyObjective, &c.ObjectivePerWork, &c.Deadline, &c.PriorityWeight, &c.LateWeight)
	switch {
	case c.Deadline == 0 && c.LatencyObjective == 0:
		c.Deadline, c.LatencyObjective = defaultDeadline, defaultDeadline
	case c.Deadline == 0:
		c.Deadline = c.LatencyObjective
	case c.LatencyObjective == 0:
		c.LatencyObjective = c.Deadline
	}
	if !(c.DedupWindow >= 0) {
		c.DedupWindow = math.Inf(1)
	}
}

// longestObjective returns the longest latency objective of all classes in ms, but at least 1 ms.
func (c *Config) longestObjective() float64 {
	longest := 1.0
	for i := range c.Classes {
		longest = math.Max(longest, c.Classes[i].LatencyObjective)
	}
	return longest
}
