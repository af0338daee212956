package balance

// Stats holds counts of this sidecar's requests and gossip messages since New, and the current state of the
// load, for logs.
type Stats struct {
	// PastObjective is the number since New of client retries that were rejected on arrival because the
	// latency objective, counted from the client's first request, had passed while BaseShedFraction was at
	// least the LateWeight of the class. The timeout of a retry is what is left of the client's deadline, so
	// the time since the first request is Class.Deadline minus this timeout.
	PastObjective int
	// Shed is the number since New of requests that were rejected on arrival because, by the balancer's
	// estimate, the fleet could not serve the whole load within the latency objectives.
	Shed int
	// RetriesExhausted is the number since New of requests that were given up after one or more attempts:
	// because their deadline had passed, because the limits on retries or the risk of running the request
	// twice forbade another attempt, or because a response would have come too late to be worth its load.
	RetriesExhausted int
	// NotSent is the number since New of requests that were admitted but given up without any attempt, for
	// example because no endpoint could take them in time.
	NotSent int

	// BaseShedFraction is the base value, from 0 to 1, of the fraction of the load that the balancer sheds.
	// With recent gossip, exactly this fraction is shed. Without recent gossip, the fraction that is shed is
	// the base value raised or lowered by the present overload.
	BaseShedFraction float64
	// Overload measures the overload at the arrival of the latest request, and is above 0 under overload.
	// Until the first gossip message arrives, Overload is the estimated latency of this sidecar's responses
	// minus the allowed latency (see allowedQueueingFraction), as a fraction of the latency objective of the
	// request's class. After the first gossip message, Overload is initialConcurrencyLimit *
	// (load/ConcurrencyLimit - 1), in requests in flight per unit of Endpoint.NominalCapacity, with the load
	// that the comment on ConcurrencyLimit describes. While gossip is lost (no message for gossipTimeout ms),
	// the same formula applies, but the load is estimated from this sidecar's own requests in flight.
	Overload float64
	// BaselineLatency is the lowest mean latency so far of this sidecar's responses and timeouts, as a
	// fraction of the latency objective of the request's class, and is initialBaseline at first.
	BaselineLatency float64
	// ShortTermLatency is the mean latency of the last few responses and timeouts of this sidecar, as a
	// fraction of the latency objective of the request's class.
	ShortTermLatency float64
	// ConcurrencyLimit is the load above which the balancer sheds requests once gossip has arrived. The load
	// is the number of requests that all sidecars have in flight at the endpoints in use, divided by the sum
	// of Endpoint.NominalCapacity over these endpoints (lowered for endpoints that warm up).
	ConcurrencyLimit float64
	// Ejected is the number of listed endpoints that are ejected now.
	Ejected int
	// WarmingUp is the number of listed endpoints that are warming up now.
	WarmingUp int
	// GossipReceived is the number since New of messages from other sidecars that were accepted.
	GossipReceived int
	// GossipDropped is the number since New of messages from other sidecars that were dropped as invalid,
	// old, duplicate or from an unknown sender.
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
