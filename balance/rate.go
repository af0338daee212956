package balance

import "math"

// slowDecayObjectives is the time constant of the slow count of a rateMeter, as a multiple of the time
// constant of the fast count. The time constant of the fast count is the longest latency objective of all
// classes. Each event counts as exp(-age/(time constant)).
const slowDecayObjectives = 8

// rateMeter estimates the rate of events from two exponentially decayed counts. The time constant of the fast
// count is the longest latency objective; the time constant of the slow count is slowDecayObjectives times as
// long.
type rateMeter struct {
	fastDecayTime float64 // time constant of the fast count, in ms
	startedAt     float64 // when counting began
	updatedAt     float64 // when the counts were last decayed
	fastCount     float64
	slowCount     float64
}

func newRateMeter(fastDecayTime float64) rateMeter { return rateMeter{fastDecayTime: fastDecayTime} }

// add counts n events.
func (m *rateMeter) add(now, n float64) {
	m.decay(now)
	m.fastCount += n
	m.slowCount += n
}

// rate returns the events per millisecond by the slow count, to which the given number of assumed events is
// added. If the fast count gives a higher rate even after two standard deviations are subtracted, that rate
// is returned, as traffic may grow quickly.
func (m *rateMeter) rate(now, assumed float64) float64 {
	m.decay(now)
	slowDecayTime := slowDecayObjectives * m.fastDecayTime
	observedFraction := -math.Expm1((m.startedAt - now) / slowDecayTime)
	slowRate := (m.slowCount + assumed) / slowDecayTime / math.Max(observedFraction, 1e-3)
	fastRate := (m.fastCount - 2*math.Sqrt(m.fastCount)) / m.fastDecayTime
	return math.Max(slowRate, fastRate)
}

func (m *rateMeter) decay(now float64) {
	m.fastCount *= math.Exp((m.updatedAt - now) / m.fastDecayTime)
	m.slowCount *= math.Exp((m.updatedAt - now) / (slowDecayObjectives * m.fastDecayTime))
	m.updatedAt = now
}
