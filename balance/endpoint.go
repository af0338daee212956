package balance

// endpoint is what this sidecar knows of one endpoint: its entry in the endpoint list and the balancer's
// state.
type endpoint struct {
	Endpoint
	listedAt           float64 // when discovery stated the entry, in ms; -Inf if unknown
	rotation           rotationState
	learnedLogCapacity float64 // log of the learned capacity factor of this endpoint alone; see capacityModel
	inFlight           int     // this sidecar's attempts in flight
	objectiveLoad      float64 // sum over these attempts of 1/(latency objective of the class), in 1/ms
	outlier            outlierState
	evidence           outlierEvidence
	warmUp             warmUpState
	healthCheck        healthCheckState
	gossip             endpointGossip
}

// rotationState is an endpoint's state in the smooth weighted round robin.
type rotationState struct {
	currentWeight float64 // grows by weight with each pick; lowered when the endpoint is picked
	weight        float64 // weight in the current pick; 0 if the endpoint is not a candidate
	loadKnown     bool    // in the current pick: the endpoint or no candidate has a fresh load report
}

// healthCheckState holds an endpoint's last load report, and whether a health check is pending.
type healthCheckState struct {
	pending         bool    // a health check was started and has no result yet
	inFlight        float64 // requests at the endpoint, by its last load report
	reportedAt      float64 // time of the last load report, in ms; 0 if there was none
	sentSinceReport float64 // attempts that this sidecar has sent since the last load report
}

// endpointGossip is what gossip messages reported about an endpoint and what the next message has to report.
type endpointGossip struct {
	inFlightFromPeers float64     // requests that other sidecars have in flight at the endpoint
	announcedInFlight int         // this sidecar's requests in flight, as its last message stated them
	changed           bool        // the message being written has a change or refresh for the endpoint
	observation       observation // what this sidecar saw since its previous message
}
