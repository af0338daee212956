package balance

// endpoint is what this sidecar knows of one endpoint.
type endpoint struct {
	Endpoint
	rotation        rotationState
	learnedCapacity float64 // logarithm, beyond what its machine type and zone have; see capacityModel
	inFlight        int     // this sidecar's attempts
	objectiveLoad   float64 // the same, each as one over the latency objective of its class
	outlier         outlierState
	evidence        outlierEvidence
	warmUp          warmUpState
	check           healthCheckState
	gossip          endpointGossip
}

// rotationState is an endpoint's part in smooth weighted round robin.
type rotationState struct {
	currentWeight float64 // grows by the weight in each pick, and falls when picked
	weight        float64 // in the present pick; 0: not a candidate
	loadKnown     bool    // in the present pick: its requests in flight are known as well as can be
}

// healthCheckState holds an endpoint's last load report, and whether a health check is pending.
type healthCheckState struct {
	pending         bool
	inFlight        float64 // its requests in flight at the last report
	reportedAt      float64
	sentSinceReport float64 // attempts of this sidecar since
}

// endpointGossip is the gossip about an endpoint, received and to be sent.
type endpointGossip struct {
	inFlightFromPeers float64     // requests of other sidecars
	announcedInFlight int         // this sidecar's, as in its last message
	changed           bool        // the message that is being written has a change of it
	observation       observation // since the last message
}
