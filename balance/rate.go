package balance

import "math"

// slowRateObjectives is the time constant of a rateMeter's slow count, in longest latency objectives.
const slowRateObjectives = 8

// rateMeter estimates how many events come per millisecond from two exponentially decayed counts: a slow one
// over some of the longest latency objectives, and a fast one over a single one.
type rateMeter struct {
	fastSpan  float64 // time constant of the fast count
	startedAt float64 // when counting began
	updatedAt float64
	fastCount float64
	slowCount float64
}

func newRateMeter(longestObjective float64) rateMeter { return rateMeter{fastSpan: longestObjective} }

// add counts n events.
func (m *rateMeter) add(now, n float64) {
	m.decay(now)
	m.fastCount += n
	m.slowCount += n
}

// rate returns the events per millisecond over the slow span, with some events assumed beside those counted.
// Where the fast count is surely higher it returns that one, as traffic may grow quickly.
func (m *rateMeter) rate(now, assumed float64) float64 {
	m.decay(now)
	slowSpan := slowRateObjectives * m.fastSpan
	observedPart := -math.Expm1((m.startedAt - now) / slowSpan)
	slow := (m.slowCount + assumed) / slowSpan / math.Max(observedPart, 1e-3)
	fast := (m.fastCount - 2*math.Sqrt(m.fastCount)) / m.fastSpan
	return math.Max(slow, fast)
}

func (m *rateMeter) decay(now float64) {
	m.fastCount *= math.Exp((m.updatedAt - now) / m.fastSpan)
	m.slowCount *= math.Exp((m.updatedAt - now) / (slowRateObjectives * m.fastSpan))
	m.updatedAt = now
}
