package balance

// Stats holds, for logs, the counts since New and the present view of the load.
type Stats struct {
	// Requests that ended unserved, by cause.
	PastObjective    int // rejected on arrival: a client's retry whose objective had passed
	Shed             int // rejected on arrival: load beyond what the fleet can serve
	RetriesExhausted int // given up after one or more attempts
	NotSent          int // given up without any attempt

	BaseShedFraction float64 // the fraction of the load that is being shed
	Overload         float64 // by how much responses take too long, as a fraction of their objective
	BaselineLatency  float64 // the least mean latency, as a fraction of the objective
	ShortTermLatency float64 // the mean latency of the last few responses, likewise
	ConcurrencyLimit float64 // requests in flight, per nominal capacity, above which load is shed
	Ejected          int     // endpoints
	WarmingUp        int     // endpoints
	GossipReceived   int     // messages of other sidecars that were taken in
	GossipDropped    int     // messages that were invalid, old, duplicates or of unknown senders
}

// Stats returns the counts since New and the present view of the load.
func (b *Balancer) Stats() Stats {
	stats := b.stats
	stats.BaseShedFraction = b.shedder.baseFraction
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
