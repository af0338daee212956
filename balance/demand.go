package balance

import "math"

const (
	// classLatencySamples is the number of responses of a class over which the mean latency of the class
	// and the mean deviation from it are averaged. Fewer responses have equal weight; from then on, the
	// averages are exponential moving averages.
	classLatencySamples = 300
	// minTotalValue is the value with which the sum of the priority weights (Class.PriorityWeight) of all
	// requests starts. The sum is a divisor when the values of requests are compared, so it must not be
	// zero.
	minTotalValue = 1e-9
)

// demandTracker counts, by class and by tenant, the requests that arrived and the requests that were served.
type demandTracker struct {
	classes []classStats   // by position in Config.Classes
	tenants []serviceTally // by position in Config.Tenants; the last one is for requests without a tenant
}

func newDemandTracker(cfg *Config) demandTracker {
	d := demandTracker{
		classes: make([]classStats, len(cfg.Classes)),
		tenants: make([]serviceTally, len(cfg.Tenants)+1),
	}
	for i := range d.classes {
		d.classes[i].serviceTally = newServiceTally()
		d.classes[i].priorityWeight = cfg.Classes[i].PriorityWeight
	}
	for i := range d.tenants {
		d.tenants[i] = newServiceTally()
	}
	for i := range cfg.Tenants {
		d.tenants[i].quotaShare = cfg.Tenants[i].QuotaShare
	}
	return d
}

// tenant returns the tally of a tenant. An unknown index gives the tally of requests without a tenant.
func (d *demandTracker) tenant(index int) *serviceTally {
	if index < 0 || index >= len(d.tenants) {
		index = len(d.tenants) - 1
	}
	return &d.tenants[index]
}

// serviceTally counts the requests of a class or tenant, and the requests that were served within their
// latency objective. Both counts start at 1, so that a division by a count never divides by zero.
type serviceTally struct {
	requested  float64 // number of requests that arrived
	served     float64 // number of requests that were served within their latency objective
	quotaShare float64 // a tenant's quota, as a fraction of this sidecar's requests; 0: no quota
}

func newServiceTally() serviceTally { return serviceTally{requested: 1, served: 1} }

func (t *serviceTally) worseServedThan(other *serviceTally) bool {
	return t.served*other.requested < other.served*t.requested
}

// classStats holds the counts of a class's requests and the latency of its responses.
type classStats struct {
	serviceTally
	samples        float64 // responses that the means are taken over, up to classLatencySamples
	meanLatency    float64 // ms
	meanDeviation  float64 // mean absolute deviation from the mean latency, in ms
	longestTimeout float64 // longest Request.Timeout so far, in ms; retries marked by clients do not count
	priorityWeight float64
}

func (c *classStats) recordLatency(latency float64) {
	c.samples = math.Min(c.samples+1, classLatencySamples)
	c.meanLatency += (latency - c.meanLatency) / c.samples
	c.meanDeviation += (math.Abs(latency-c.meanLatency) - c.meanDeviation) / c.samples
}

// demandSummary holds the totals of this sidecar's requests, and the class and the tenant of which the
// smallest fraction of requests was served.
type demandSummary struct {
	requests    float64
	value       float64 // sum of the priority weights of all requests
	worstClass  *classStats
	worstTenant *serviceTally
}

func (d *demandTracker) summarize() demandSummary {
	sum := demandSummary{value: minTotalValue, worstClass: &d.classes[0], worstTenant: &d.tenants[0]}
	for i := range d.classes {
		class := &d.classes[i]
		sum.requests += class.requested
		sum.value += class.requested * class.priorityWeight
		if class.worseServedThan(&sum.worstClass.serviceTally) {
			sum.worstClass = class
		}
	}
	for i := range d.tenants {
		if d.tenants[i].worseServedThan(sum.worstTenant) {
			sum.worstTenant = &d.tenants[i]
		}
	}
	return sum
}
