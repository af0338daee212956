package balance

import "math"

const (
	// initialBaseline is the baseline latency that a sidecar assumes when it starts, as a fraction of the
	// latency objective of the request's class. The baseline latency is the smallest mean latency so far; a
	// smaller mean latency replaces the assumed one.
	initialBaseline = 0.33
	// meanLatencySamples is the number of this sidecar's responses (including attempts that timed out) over
	// which the mean latency is averaged. Fewer responses have equal weight; from then on, the average is
	// an exponential moving average, and its smallest value is the baseline latency.
	meanLatencySamples = 50
	// shortTermLatencySamples is the number of this sidecar's responses (including attempts that timed out)
	// over which the short-term mean latency is averaged, by an exponential moving average. Twice this mean
	// bounds the latency that is estimated from the attempts in flight.
	shortTermLatencySamples = 10
	// maxLatencyInObjectives is the upper bound on the latency with which a response counts in this
	// sidecar's mean latencies, as a multiple of the latency objective of the request's class.
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
