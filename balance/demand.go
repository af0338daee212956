package balance

import "math"

const (
	classLatencySamples = 300  // responses over which a class's latencies are averaged
	minDemand           = 1e-9 // keeps the total value of all requests above zero
)

// demandTracker follows what classes and tenants ask for and what they are served.
type demandTracker struct {
	classes []classStats
	tenants []serviceTally // the last is for requests without a tenant
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

// tenant returns the tally of a tenant; any unknown one is no tenant.
func (d *demandTracker) tenant(index int) *serviceTally {
	if index < 0 || index >= len(d.tenants) {
		index = len(d.tenants) - 1
	}
	return &d.tenants[index]
}

// serviceTally counts the requests of a class or tenant, and those served within their objective. Both counts
// start at 1, so that neither is ever 0.
type serviceTally struct {
	requested  float64
	served     float64
	quotaShare float64 // of a tenant; 0: no quota
}

func newServiceTally() serviceTally { return serviceTally{requested: 1, served: 1} }

func (t *serviceTally) worseServedThan(other *serviceTally) bool {
	return t.served*other.requested < other.served*t.requested
}

// classStats follows how long responses of a class take, and counts its requests.
type classStats struct {
	serviceTally
	samples        float64
	meanLatency    float64
	meanDeviation  float64
	longestTimeout float64 // of clients' first tries
	priorityWeight float64
}

func (c *classStats) recordLatency(latency float64) {
	c.samples = math.Min(c.samples+1, classLatencySamples)
	c.meanLatency += (latency - c.meanLatency) / c.samples
	c.meanDeviation += (math.Abs(latency-c.meanLatency) - c.meanDeviation) / c.samples
}

// demandSummary is what all requests of this sidecar ask for, and who is served the least part of it.
type demandSummary struct {
	requests    float64
	value       float64
	worstClass  *classStats
	worstTenant *serviceTally
}

func (d *demandTracker) summarize() demandSummary {
	sum := demandSummary{value: minDemand, worstClass: &d.classes[0], worstTenant: &d.tenants[0]}
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
