package balance

import "math"

// Idempotency tells whether a request may run more than once.
type Idempotency uint8

// The idempotency of a class of requests.
const (
	// Idempotent is the idempotency of a class whose requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey is the idempotency of a class whose requests carry an idempotency key. Within the
	// DedupScope and DedupWindow of the class, endpoints drop a request whose key they have seen before, so a
	// retry is safe there.
	IdempotentWithKey
	// NonIdempotent is the idempotency of a class whose requests must never run twice. A request of the class
	// is retried only if the results of all earlier attempts prove that the request has not run.
	NonIdempotent
)

// DedupScope tells which endpoints recognize a repeated idempotency key and drop the repetition.
type DedupScope uint8

// The scopes in which endpoints recognize a repeated idempotency key.
const (
	// DedupAll is the scope in which every endpoint recognizes an idempotency key that any endpoint has
	// received.
	DedupAll DedupScope = iota
	// DedupZone is the scope in which an endpoint recognizes only the idempotency keys that endpoints of its
	// zone have received. A request that may have run is retried only in the zone of its earlier attempt.
	DedupZone
	// DedupCell is the scope in which an endpoint recognizes only the idempotency keys that endpoints of its
	// cell have received. A request that may have run is retried only in the cell of its earlier attempt.
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	// Idempotency tells whether a request of the class may run more than once.
	Idempotency Idempotency
	// DedupScope tells which endpoints recognize a repeated idempotency key of an IdempotentWithKey class.
	DedupScope DedupScope
	// DedupWindow is the time in ms for which endpoints remember an idempotency key of an IdempotentWithKey
	// class, counted from the start of the first attempt that may have run. 0 means that endpoints remember
	// no keys; a negative, infinite or NaN value means that they never forget a key.
	DedupWindow float64
	// LatencyObjective is the time in ms, from the arrival of a request, within which a response has its full
	// value. The balancer measures latencies as fractions of LatencyObjective. 0 means that Deadline is used.
	LatencyObjective float64
	// ObjectivePerWork is the increase of the latency objective of a request, in ms, for each ms of the
	// request's work. ObjectivePerWork is a part of the settings only; decisions do not use it.
	ObjectivePerWork float64
	// Deadline is the longest time in ms that a client waits for a response, from its first request and over
	// all its retries. Deadline limits Request.Timeout. 0 means that LatencyObjective is used.
	Deadline float64
	// PriorityWeight is the value, without a unit, of a response to a request of the class within the latency
	// objective, relative to other classes. When load must be shed, the balancer rejects first the requests
	// with the least value per ms of the mean latency of their class.
	PriorityWeight float64
	// LateWeight is the value, as a fraction of PriorityWeight from 0 to 1, of a response after the latency
	// objective. While Stats.BaseShedFraction is at least LateWeight, the balancer starts no attempt of a
	// request that is past its latency objective and can safely be rejected.
	LateWeight float64
	// Stream reports whether the responses of the class are streamed. Stream is a part of the settings only:
	// decisions use the ResponseStarted event that reports each streamed response.
	Stream bool
}

// Tenant describes one customer of the service.
type Tenant struct {
	// QuotaRate is the number of requests per second, over all sidecars, that are within the tenant's quota.
	// QuotaRate is a part of the settings only; decisions use QuotaShare.
	QuotaRate float64
	// QuotaShare is the fraction, from 0 to 1, of this sidecar's requests that is within the tenant's quota.
	// When the balancer sheds load, the tenant's requests beyond the quota count with Config.OverQuotaWeight.
	// 0 means that the tenant has no quota, and that all requests of the tenant count in full.
	QuotaShare float64
}

// ReportSource tells how load reports reach a sidecar.
type ReportSource uint8

// The sources of load reports.
const (
	// ReportNone is the ReportSource of sidecars whose endpoints send no load reports.
	ReportNone ReportSource = iota
	// ReportPiggyback is the ReportSource of sidecars whose endpoints send load reports in the responses to
	// attempts. The balancer does not use these reports.
	ReportPiggyback
	// ReportHealthCheck is the ReportSource of sidecars whose endpoints send load reports in the responses to
	// health checks. If Config.HealthChecks allows it, the balancer checks endpoints before requests.
	ReportHealthCheck
)

// ReportField identifies a field of a load report: it tells what one value of the report means.
type ReportField uint8

// The fields of load reports. The balancer uses FieldInFlight only.
const (
	// FieldUnknown identifies a field of a load report whose meaning is unknown. The balancer skips the
	// value.
	FieldUnknown ReportField = iota
	// FieldInFlight identifies the field of a load report whose value is the number of requests that the
	// endpoint is handling.
	FieldInFlight
	// FieldQueue identifies the field of a load report whose value is the number of requests that wait at the
	// endpoint. The balancer does not use the value.
	FieldQueue
	// FieldUtilization identifies the field of a load report whose value is the fraction, from 0 to 1, of the
	// endpoint's CPU that is in use. The balancer does not use the value.
	FieldUtilization
	// FieldLatency identifies the field of a load report whose value is the recent service time, in ms, of
	// the endpoint's requests. The balancer does not use the value.
	FieldLatency
	// FieldRate identifies the field of a load report whose value is the rate, in requests per second, at
	// which the endpoint serves requests. The balancer does not use the value.
	FieldRate
	// FieldErrorRate identifies the field of a load report whose value is the rate of the endpoint's errors,
	// in errors per second. The balancer does not use the value.
	FieldErrorRate
)

// Config holds the settings of a Balancer. New replaces unusable values with defaults: a number that is
// negative, infinite or NaN counts as 0 unless the comment on its field says otherwise.
type Config struct {
	// Seed is the seed of the balancer's random numbers. Balancers with the same settings, seed and events
	// return the same actions.
	Seed uint64
	// PeerIndex is the index of this sidecar among all sidecars, from 0. It determines which subset of the
	// endpoints the sidecar uses, and identifies the sidecar as a sender of gossip.
	PeerIndex int
	// PeerCount is the number of all sidecars, including this one. It determines the size of the subset, the
	// delays of calls to discovery, and whether there are enough sidecars for gossip. The minimum is 1.
	PeerCount int
	// Zone is the number of the zone that this sidecar runs in, in the same numbering as Endpoint.Zone.
	Zone int
	// Classes describes the classes of requests. Request.Class is an index of this slice.
	Classes []Class
	// Tenants describes the tenants. Request.Tenant is an index of this slice.
	Tenants []Tenant
	// OverQuotaWeight is the value of a request beyond its tenant's quota (Tenant.QuotaShare), as a fraction
	// from 0 to 1 of the value of the same request within the quota. The balancer compares these values to
	// choose which load to shed. At 1 quotas have no effect.
	OverQuotaWeight float64
	// BatchInterval is the shortest time in ms between two batches of events from the caller. While a
	// request waits for an endpoint, the balancer tries to pick one at intervals of at least BatchInterval.
	BatchInterval float64

	// Subscribe makes the balancer ask for a watch of the endpoint list after Start. If Subscribe is not set,
	// the caller passes the endpoint list without being asked.
	Subscribe bool
	// LocalAgent reports whether discovery is an agent that serves this sidecar alone. Such a sidecar counts
	// as notified of a change at the moment of the change, so failed calls are repeated sooner than calls to
	// a shared discovery service.
	LocalAgent bool
	// ReportSource tells how load reports reach the sidecar.
	ReportSource ReportSource
	// ReportFields identifies the values of each load report, in the order of the report's values.
	ReportFields []ReportField

	// ClientsMarkRetries reports whether clients mark their retries (Request.IsRetry). If not, the balancer
	// recognizes a late retry only by its timeout, which is shorter than that of the class's other requests.
	ClientsMarkRetries bool
	// MaxAttempts is the largest number of attempts of one request, including the first. The minimum is 1.
	// The balancer makes no more than maxRetries retries, even if MaxAttempts allows more.
	MaxAttempts int
	// Hedging allows two attempts of a request to be in flight at the same time. Hedging is a part of the
	// settings only: the balancer starts an attempt only while the request has no attempt in flight.
	Hedging bool
	// CancelAttempts allows the balancer to cancel attempts in flight.
	CancelAttempts bool
	// HealthChecks allows the balancer to check the health of endpoints. The balancer does so, before the
	// first attempt of a request, only if ReportSource is ReportHealthCheck.
	HealthChecks bool
	// Gossip allows sidecars to send each other gossip messages. Fleets of fewer than minGossipPeers sidecars
	// do not use gossip.
	Gossip bool
	// RetryAfter makes rejections carry Retry-After (Action.Delay of a Reject action), the time after which
	// the client should retry.
	RetryAfter bool
	// MaxRetryAfter is the upper bound, in ms, on the Retry-After of a rejection, because clients do not
	// follow a longer one. 0 means that clients follow any Retry-After.
	MaxRetryAfter float64
	// ConnectTimeout is the time in ms within which a connection to an endpoint must be made. The connection
	// pool of the sidecar uses ConnectTimeout; the balancer does not.
	ConnectTimeout float64

	// DrainGrace is the time in ms for which an endpoint may still get attempts after it starts draining or
	// is removed. While calls to a local discovery agent fail, the balancer repeats them several times within
	// DrainGrace.
	DrainGrace float64
	// SlowStartFraction is the lowest fraction of an endpoint's capacity, from 0 to 1, that is available when
	// the endpoint's process starts. The fraction rises linearly to 1 over SlowStartDuration. A value that is
	// not from 0 to 1 counts as 1.
	SlowStartFraction float64
	// SlowStartDuration is the time in ms, from the start of an endpoint's process, for which the endpoint
	// warms up and the balancer limits the attempts there. 0 means that endpoints need no warm-up.
	SlowStartDuration float64
	// OverloadFactor is a multiple of an endpoint's capacity. A warming-up endpoint fails if its load is at
	// this multiple for OverloadWindow, so the balancer limits the rate of its attempts at the endpoint.
	OverloadFactor float64
	// OverloadWindow is the time in ms after which a warming-up endpoint fails under a load of OverloadFactor
	// times its capacity. It limits the bursts of attempts that the balancer sends to such an endpoint.
	OverloadWindow float64
	// PollInterval is the longest time in ms between two polls of discovery for a sidecar without a watch.
	// The balancer delays a call to discovery by at most half of PollInterval. 0 means that there is no such
	// limit.
	PollInterval float64
	// ResponseSlack is the time in ms after the client's deadline in which a response still counts.
	// ResponseSlack is a part of the settings only; decisions do not use it.
	ResponseSlack float64

	// Goal holds the relative weights of four service levels: over all requests, in the worst time window, of
	// the worst class and of the worst tenant. The balancer uses the weights to choose which load to shed.
	Goal Goal
	// Penalties holds the costs that lower the service level.
	Penalties Penalties
}

// Goal holds the relative weights of four service levels: over all requests, in the worst time window, of the
// worst class and of the worst tenant. A service level is the total value of the responses (see
// Class.PriorityWeight) as a fraction of the highest possible total. The balancer adds up what a request can
// contribute to each service level, times its weight. Requests with the smallest sum per ms of the mean
// latency of their class are shed first. The weights have no unit; only their ratios matter.
type Goal struct {
	// Overall is the weight of the service level over all requests.
	Overall float64
	// WorstWindow is the weight of the service level in the worst time window. The balancer adds WorstWindow
	// to Overall, because it does not tell time windows apart.
	WorstWindow float64
	// WorstClass is the weight of the service level of the worst-served class, the class with the smallest
	// fraction of requests served within their latency objective.
	WorstClass float64
	// WorstTenant is the weight of the service level of the worst-served tenant, the tenant with the smallest
	// fraction of requests served within their latency objective.
	WorstTenant float64
}

// Penalties holds the costs that lower the service level, as fractions of the service level; 0 means that
// there is no cost. The balancer uses CrossZone and HealthCheck only.
type Penalties struct {
	// CrossZone is the cost, as a fraction of the service level, of responses from endpoints outside the
	// sidecar's zone. The larger the cost, the more the balancer prefers endpoints of the sidecar's zone.
	CrossZone float64
	// Waste is the cost, as a fraction of the service level, of work at endpoints that serves no client.
	// Waste is a part of the settings only; decisions do not use it.
	Waste float64
	// Handshake is the cost, as a fraction of the service level, of new connections to endpoints. Handshake
	// is a part of the settings only; decisions do not use it.
	Handshake float64
	// HealthCheck is the cost, as a fraction of the service level, of one health check per request. The
	// larger the cost, the fewer endpoints the balancer checks before a request's first attempt.
	HealthCheck float64
	// Gossip is the cost, as a fraction of the service level, of gossip messages. Penalties.Gossip is a part
	// of the settings only; decisions do not use it.
	Gossip float64
	// LateFailure is the cost, as a fraction of the service level, of requests that fail late. LateFailure is
	// a part of the settings only; decisions do not use it.
	LateFailure float64
}

// defaultDeadline is the value in ms of both Class.Deadline and Class.LatencyObjective for a class for which
// neither is given.
const defaultDeadline = 1000

// withDefaults returns a copy of the settings in which unusable values are replaced with defaults. Every
// number that is negative, infinite or NaN counts as not given. The defaults are: the latency objective
// equals the deadline and vice versa; an idempotency key is remembered forever; a request has one attempt;
// there is one sidecar; an endpoint starts with its whole capacity; the goal is the overall service level.
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

// setDefaults replaces unusable values of the class with defaults.
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
