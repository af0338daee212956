package balance

import "math"

const (
	latencyDecayTime         = 400  // ms over which the mean latency of all sidecars' responses is taken
	minLatencySamples        = 20   // responses in it that are enough to go by
	maxLatencyRatio          = 2.5  // baselines that one response counts at most: a slow endpoint is no load
	baselineAdoptionTime     = 5000 // ms in which a new sidecar adopts its peers' baseline
	baselineAdoptionSamples  = 50   // messages over which it does
	latencyUnitsPerObjective = 100  // resolution of latencies in gossip
)

// fleetLatency is the recent mean latency of all sidecars' responses, as a fraction of their objective, and
// the least that it was. It also gathers this sidecar's own responses for its next gossip message.
type fleetLatency struct {
	samples    float64 // decayed
	sum        float64 // of their latencies, decayed
	updatedAt  float64
	baseline   float64
	ownSamples float64 // since the last message
	ownSum     float64
}

// latencyReport is the part of a gossip message on its sender's responses; latencies are in
// latencyUnitsPerObjective.
type latencyReport struct{ samples, mean, baseline uint8 }

// add takes in a number of responses by their mean latency.
func (l *fleetLatency) add(now, samples, mean float64) {
	kept := math.Exp((l.updatedAt - now) / latencyDecayTime)
	l.samples = l.samples*kept + samples
	l.sum = l.sum*kept + samples*l.counted(mean)
	l.updatedAt = now
}

// recordOwn takes in one response of this sidecar.
func (l *fleetLatency) recordOwn(now, latency float64) {
	l.add(now, 1, latency)
	l.ownSamples++
	l.ownSum += l.counted(latency)
}

func (l *fleetLatency) counted(latency float64) float64 {
	return math.Min(latency, maxLatencyRatio*l.baseline)
}

// takeReport returns the report on this sidecar's responses since the last call.
func (l *fleetLatency) takeReport() latencyReport {
	report := latencyReport{
		samples:  uint8(math.Min(l.ownSamples, math.MaxUint8)),
		mean:     latencyUnits(l.ownSum / math.Max(l.ownSamples, 1)),
		baseline: latencyUnits(l.baseline),
	}
	l.ownSamples, l.ownSum = 0, 0
	return report
}

// merge takes in another sidecar's report. One that has just started adopts the baseline, as it has yet to
// see how fast responses can be.
func (l *fleetLatency) merge(now float64, report latencyReport, justStarted bool) {
	if report.baseline > 0 && justStarted {
		baseline := float64(report.baseline) / latencyUnitsPerObjective
		l.baseline += (baseline - l.baseline) / baselineAdoptionSamples
	}
	l.add(now, float64(report.samples), float64(report.mean)/latencyUnitsPerObjective)
}

func latencyUnits(latency float64) uint8 {
	return uint8(math.Min(latency*latencyUnitsPerObjective+0.5, math.MaxUint8))
}
