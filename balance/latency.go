package balance

import "math"

const (
	// initialBaseline is the baseline latency (the smallest mean latency seen) that is assumed until
	// responses show a smaller one, as a fraction of the latency objective.
	initialBaseline = 0.33
	// meanLatencySamples is the number of this sidecar's responses over which the mean latency is taken.
	meanLatencySamples = 50
	// shortTermLatencySamples is the number of this sidecar's responses over which the short-term mean
	// latency is taken (an exponential moving average).
	shortTermLatencySamples = 10
	// maxLatencyInObjectives is the upper bound, in latency objectives, on the latency with which a response
	// counts in this sidecar's mean latencies.
	maxLatencyInObjectives = 2
)

// latencyTracker follows the latency of this sidecar's responses. All latencies are fractions of the latency
// objective.
type latencyTracker struct {
	samples   float64 // responses that the mean is taken over, up to meanLatencySamples
	mean      float64
	shortTerm float64 // mean over shortTermLatencySamples responses
	baseline  float64 // smallest mean so far
}

func (t *latencyTracker) record(fraction float64) {
	counted := math.Min(fraction, maxLatencyInObjectives)
	t.samples = math.Min(t.samples+1, meanLatencySamples)
	t.shortTerm += (counted - t.shortTerm) / shortTermLatencySamples
	t.mean += (counted - t.mean) / t.samples
	if t.samples == meanLatencySamples {
		t.baseline = math.Min(t.baseline, t.mean)
	}
}
