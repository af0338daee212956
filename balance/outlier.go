package balance

const (
	// consecutiveErrorsToEject is the number of consecutive errors, counted since the endpoint's last
	// response, at which this sidecar ejects an endpoint. An ejected endpoint gets no requests while other
	// endpoints can take them. An error is a failed or overdue attempt of this sidecar. A failed connection
	// attempt ejects at once.
	consecutiveErrorsToEject = 3

	// maxEjectionDoublings is the maximum number of times that the duration of an endpoint's ejection
	// doubles, once for each earlier ejection since the endpoint's last response. The first ejection lasts
	// for the longest latency objective of all classes.
	maxEjectionDoublings = 3

	// failedConnectsToPresumeDead is the number of failed connection attempts of this sidecar, counted since
	// the endpoint's last response, at which the process of an endpoint is presumed dead if an open
	// connection was also reset. The next response of such an endpoint shows a restart and begins its slow
	// start.
	failedConnectsToPresumeDead = 2
)

// outlierState is the outlier detection state of one endpoint, as far as it comes from this sidecar's own
// attempts and health checks.
type outlierState struct {
	consecutiveErrors float64 // errors since the last response
	lastErrorAt       float64 // time of the last error, in ms
	ejectedUntil      float64 // end of the last ejection, in ms; 0 if there was none since the last response
	ejections         int     // ejections since the last response
	unreachable       bool    // the last health check got no response
	connectionLost    bool    // an open connection was reset and no response has come since
	failedConnects    int     // failed connection attempts since the last response
	presumedDead      bool    // the connection faults show that the endpoint's process died
}

// clear resets the state after a response or a restart.
func (o *outlierState) clear() { *o = outlierState{} }

// ejected reports whether the endpoint is ejected because of errors, a failed health check or gossip. An
// ejected endpoint gets no requests while other endpoints can take them. It is used again after the ejection.
func (o *outlierState) ejected(now float64) bool { return now < o.ejectedUntil }

// recordError counts one more consecutive error.
func (o *outlierState) recordError(now float64) {
	o.consecutiveErrors++
	o.lastErrorAt = now
}

// recordConnectionFault detects a process that died: its connections are reset and it accepts no new
// connections. Either fault alone also happens to live endpoints, since a full accept backlog refuses
// connections and a faulty network resets them.
func (o *outlierState) recordConnectionFault(result Result) {
	switch result {
	case Reset:
		o.connectionLost = true
	case ConnectFailed:
		o.failedConnects++
	}
	o.presumedDead = o.connectionLost && o.failedConnects >= failedConnectsToPresumeDead
}

// recordError counts an error of an endpoint. A failed connection attempt ejects the endpoint at once; other
// errors eject the endpoint after consecutiveErrorsToEject in a row.
func (b *Balancer) recordError(e *endpoint, connectFailed bool) {
	e.outlier.recordError(b.now)
	b.recordObservation(e, observation{failures: 1, unreachable: connectFailed})
	b.learnCapacity(e, errorLatencyRatio)
	if connectFailed || e.outlier.consecutiveErrors >= consecutiveErrorsToEject {
		b.eject(e)
	}
}

// eject ejects an endpoint. The ejection lasts for the longest latency objective of all classes, doubled
// for each earlier ejection since the endpoint's last response.
func (b *Balancer) eject(e *endpoint) {
	e.outlier.ejectedUntil = b.now +
		b.longestObjective*backoffFactor(e.outlier.ejections, maxEjectionDoublings)
	e.outlier.ejections++
}

// mostEjected reports whether at least half of the endpoints in the gossip scope are ejected. The cause is
// then unlikely to lie in the endpoints themselves.
func (b *Balancer) mostEjected() bool {
	scope := b.gossipScope()
	ejected := 0
	for _, e := range scope {
		if e.outlier.ejected(b.now) {
			ejected++
		}
	}
	return 2*ejected >= len(scope)
}
