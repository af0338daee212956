package balance

import "math"

const (
	// latencyDecayTime is the time constant, in ms, of the two averages by which the concurrency limit is
	// adjusted: the latency of all sidecars' responses, and their requests in flight per unit of nominal
	// capacity. A value has the weight exp(-age/latencyDecayTime) in its average.
	latencyDecayTime = 400
	// minLatencySamples is the number of recent responses of all sidecars that is needed to adjust the
	// concurrency limit by their mean latency. Each response counts as exp(-age/latencyDecayTime).
	minLatencySamples = 20
	// maxLatencyInBaselines is the upper bound on the latency with which a response counts in the mean
	// latency of all sidecars' responses, as a multiple of the baseline latency (the smallest mean latency
	// so far). The bound is needed because a single slow endpoint is no sign of load.
	maxLatencyInBaselines = 2.5
	// baselineAdoptionTime is the time after its start, in ms, during which a sidecar moves its baseline
	// latency (the smallest mean latency so far) towards the baseline latencies that its peers gossip.
	baselineAdoptionTime = 5000
	// baselineAdoptionSamples is the number of gossip messages over which a sidecar that has just started
	// averages the baseline latency of its peers, by an exponential moving average. The baseline latency is
	// the smallest mean latency so far.
	baselineAdoptionSamples = 50
	// latencyUnitsPerObjective is the number of units that a latency of one latency objective has in gossip
	// messages. One unit is also the smallest baseline latency that a sidecar derives from responses.
	latencyUnitsPerObjective = 100
)

// fleetLatency tracks the recent mean latency of all sidecars' responses and the baseline latency. It also
// collects this sidecar's own responses for its next gossip message. All latencies are fractions of the
// latency objective.
type fleetLatency struct {
	samples    float64 // exponentially decayed number of responses
	sum        float64 // exponentially decayed sum of the latencies of responses
	updatedAt  float64 // time at which samples and sum were last decayed, in ms
	baseline   float64 // smallest mean latency so far
	ownSamples float64 // number of this sidecar's responses since its last gossip message
	ownSum     float64 // sum of the latencies of this sidecar's responses since its last gossip message
}

// latencyReport is the part of a gossip message that describes the sender's responses. Its mean and baseline
// are in units of which a latency objective has latencyUnitsPerObjective.
type latencyReport struct{ samples, mean, baseline uint8 }

// add counts a number of responses with the given mean latency.
func (l *fleetLatency) add(now, samples, mean float64) {
	decay := math.Exp((l.updatedAt - now) / latencyDecayTime)
	l.samples = l.samples*decay + samples
	l.sum = l.sum*decay + samples*l.limitLatency(mean)
	l.updatedAt = now
}

// recordOwnResponse counts one response of this sidecar.
func (l *fleetLatency) recordOwnResponse(now, latency float64) {
	l.add(now, 1, latency)
	l.ownSamples++
	l.ownSum += l.limitLatency(latency)
}

// limitLatency returns the latency, but at most maxLatencyInBaselines baseline latencies.
func (l *fleetLatency) limitLatency(latency float64) float64 {
	return math.Min(latency, maxLatencyInBaselines*l.baseline)
}

// takeReport returns the report on this sidecar's responses since the last call and starts a new report.
func (l *fleetLatency) takeReport() latencyReport {
	report := latencyReport{
		samples:  uint8(math.Min(l.ownSamples, math.MaxUint8)),
		mean:     latencyUnits(l.ownSum / math.Max(l.ownSamples, 1)),
		baseline: latencyUnits(l.baseline),
	}
	l.ownSamples, l.ownSum = 0, 0
	return report
}

// mergeReport counts the responses of another sidecar's report. A sidecar that has just started has not yet
// seen how fast responses can be, so it also moves its baseline towards the reported baseline.
func (l *fleetLatency) mergeReport(now float64, report latencyReport, justStarted bool) {
	if report.baseline > 0 && justStarted {
		baseline := float64(report.baseline) / latencyUnitsPerObjective
		l.baseline += (baseline - l.baseline) / baselineAdoptionSamples
	}
	l.add(now, float64(report.samples), float64(report.mean)/latencyUnitsPerObjective)
}

// latencyUnits converts a latency from a fraction of the latency objective to the units of gossip messages.
func latencyUnits(latency float64) uint8 {
	return uint8(math.Min(latency*latencyUnitsPerObjective+0.5, math.MaxUint8))
}
