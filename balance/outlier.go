package balance

const (
	ejectionErrors       = 3 // consecutive errors before an endpoint is ejected
	maxEjectionDoublings = 3 // ejections after which their time grows no more
	deadFailedConnects   = 2 // failed connects after which an endpoint that lost a connection is dead
)

// outlierState is what this sidecar's own attempts hold against an endpoint.
type outlierState struct {
	consecutiveErrors float64
	lastErrorAt       float64
	ejectedUntil      float64 // 0: not ejected since the last response
	ejections         int     // since the last response
	unreachable       bool    // the last health check got no response
	connectionLost    bool    // and no response came since
	failedConnects    int     // since the last response
	presumedDead      bool    // its process died, by what became of its connections
}

// clear resets the state, as after a response or a restart.
func (o *outlierState) clear() { *o = outlierState{} }

// ejected reports whether the endpoint gets no requests for now, as it left several attempts without a
// response or is out of reach. Afterwards it takes its turn again.
func (o *outlierState) ejected(now float64) bool { return now < o.ejectedUntil }

func (o *outlierState) recordError(now float64) {
	o.consecutiveErrors++
	o.lastErrorAt = now
}

// recordConnectionFault distinguishes a process that died from a network fault: it lost its connections and
// accepts no new ones. Either alone happens to live endpoints too, as full backlogs refuse and networks
// reset.
func (o *outlierState) recordConnectionFault(result Result) {
	switch result {
	case Reset:
		o.connectionLost = true
	case ConnectFailed:
		o.failedConnects++
	}
	o.presumedDead = o.connectionLost && o.failedConnects >= deadFailedConnects
}

// recordError counts an error against an endpoint, which is ejected at once where no connection was made,
// else after several.
func (b *Balancer) recordError(e *endpoint, connectFailed bool) {
	e.outlier.recordError(b.now)
	b.recordObservation(e, observation{failures: 1, unreachable: connectFailed})
	b.learnCapacity(e, errorLatencyRatio)
	if connectFailed || e.outlier.consecutiveErrors >= ejectionErrors {
		b.eject(e)
	}
}

// eject takes an endpoint out of use, for longer each time.
func (b *Balancer) eject(e *endpoint) {
	e.outlier.ejectedUntil = b.now + b.longestObjective*doublings(e.outlier.ejections, maxEjectionDoublings)
	e.outlier.ejections++
}

// mostEjected reports whether at least half of the endpoints are ejected: then it is hardly their own fault.
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
