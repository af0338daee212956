package balance

// Stats holds counts since New and the current state of the load, for logs.
type Stats struct {
	// PastObjective is the number of requests rejected on arrival as retries of a client whose latency
	// objective had already passed.
	PastObjective int
	// Shed is the number of requests rejected on arrival as load beyond what the fleet can serve.
	Shed int
	// RetriesExhausted is the number of requests that were given up after one or more attempts.
	RetriesExhausted int
	// NotSent is the number of requests that were admitted but given up without any attempt.
	NotSent int

	// BaseShedFraction is the fraction of the load, from 0 to 1, that is being shed.
	BaseShedFraction float64
	// Overload is the estimated excess of the mean latency over the allowed latency, as a fraction of the
	// latency objective. It is negative while there is no overload.
	Overload float64
	// BaselineLatency is the lowest mean latency so far, as a fraction of the latency objective.
	BaselineLatency float64
	// ShortTermLatency is the mean latency of the last few responses, as a fraction of the latency objective.
	ShortTermLatency float64
	// ConcurrencyLimit is the number of requests in flight per unit of nominal capacity above which load is
	// shed.
	ConcurrencyLimit float64
	// Ejected is the number of endpoints that are ejected now.
	Ejected int
	// WarmingUp is the number of endpoints that are warming up now.
	WarmingUp int
	// GossipReceived is the number of accepted messages from other sidecars.
	GossipReceived int
	// GossipDropped is the number of messages dropped as invalid, old, duplicate or from an unknown sender.
	GossipDropped int
}

// Stats returns the counts since New and the current state of the load.
func (b *Balancer) Stats() Stats {
	stats := b.stats
	stats.BaseShedFraction = b.shedder.baseShedFraction
	stats.Overload = b.shedder.overload
	stats.BaselineLatency = b.latency.baseline
	stats.ShortTermLatency = b.latency.shortTerm
	stats.ConcurrencyLimit = b.concurrency.limit
	for _, e := range b.endpoints {
		if e.outlier.ejected(b.now) {
			stats.Ejected++
		}
		if b.slowStart.warmingUp(e, b.now) {
			stats.WarmingUp++
		}
	}
	return stats
}
