package balance

import "math"

// withDefaults returns the settings with every number that cannot be replaced: what is negative, not a
// number or infinite counts as not given. The defaults: an aim is the deadline, a deadline without a value
// is the aim, or a second where neither is given; a key's window has no end; worth is 1; one attempt; one
// sidecar; a server starts with all its capacity; the goal is the whole.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		k := &c.Classes[i]
		sanitize(&k.LatencyObjective, &k.ObjectivePerWork, &k.Deadline, &k.PriorityWeight, &k.LateWeight)
		switch {
		case k.Deadline == 0 && k.LatencyObjective == 0:
			k.Deadline, k.LatencyObjective = 1000, 1000
		case k.Deadline == 0:
			k.Deadline = k.LatencyObjective
		case k.LatencyObjective == 0:
			k.LatencyObjective = k.Deadline
		}
		if !(k.DedupWindow >= 0) {
			k.DedupWindow = math.Inf(1)
		}
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		sanitize(&c.Tenants[i].QuotaRate, &c.Tenants[i].QuotaShare)
	}
	sanitize(&c.OverQuotaWeight, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace, &c.SlowStartDuration,
		&c.OverloadFactor, &c.OverloadWindow, &c.PollInterval, &c.ResponseSlack)
	sanitize(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	sanitize(&c.Penalties.CrossZone, &c.Penalties.Waste, &c.Penalties.Handshake, &c.Penalties.HealthCheck, &c.Penalties.Gossip,
		&c.Penalties.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.PeerCount, c.MaxAttempts, c.PeerIndex = max(c.PeerCount, 1), max(c.MaxAttempts, 1), max(c.PeerIndex, 0)
	return c
}

// clean sets to zero what is no finite number of at least zero.
func sanitize(values ...*float64) {
	for _, v := range values {
		if *v = clampNonNegative(*v, math.Inf(1)); math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// finite returns v, at most the given bound, and 0 for what is negative or no number.
func clampNonNegative(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, most)
}
