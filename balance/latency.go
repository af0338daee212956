package balance

import "math"

const (
	initialBaseline  = 0.33 // of the objective: taken for the least mean latency until there are responses
	meanSamples      = 50   // responses over which the mean latency is taken
	shortTermSamples = 10   // and over which the short-term mean is taken
	maxCountedRatio  = 2    // objectives that a single response counts at most
)

// latencyTracker follows how long this sidecar's responses take, as fractions of their latency objective.
type latencyTracker struct {
	samples   float64
	mean      float64
	shortTerm float64 // the mean of the last few
	baseline  float64 // the least mean so far
}

func (t *latencyTracker) record(fraction float64) {
	counted := math.Min(fraction, maxCountedRatio)
	t.samples = math.Min(t.samples+1, meanSamples)
	t.shortTerm += (counted - t.shortTerm) / shortTermSamples
	t.mean += (counted - t.mean) / t.samples
	if t.samples == meanSamples {
		t.baseline = math.Min(t.baseline, t.mean)
	}
}
