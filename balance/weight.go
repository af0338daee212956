package balance

import "math"

const (
	errorHalfLife          = 5000 // ms in which errors lose half their weight, as faults last seconds
	errorPenalty           = 0.2  // of the health multiplier, lost for each consecutive error
	minHealth              = 0.25 // the multiplier's floor, so that a recovered endpoint is found again
	nonIdempotentMinHealth = 0.9  // what must not run twice goes to none under this while there are others
	baseWeight             = 100
	minWeight              = 1e-6
	zonePreference         = 400 // weight added in the own zone, times the penalty of crossing zones
	zonePreferenceDecay    = 4   // it ends where responses are slower by a quarter of the objective

	capacityStep         = 0.01 // of a learned capacity for each response; machine type and zone: half of it
	maxLogCapacity       = 2.5  // bound of each learned logarithm of capacity
	maxCapacityLoss      = 2    // class means above which a slower response counts no more
	meanStepSamples      = 200
	initialLearningBoost = 8  // times faster learning at first: restarted sidecars know nothing
	initialLearningSpan  = 50 // responses in which it halves
	errorLatencyRatio    = 3  // class means that an error counts as
)

// weightOf is capacity times health multiplier, lowered while the endpoint warms up.
func (b *Balancer) weightOf(e *endpoint) float64 {
	weight := baseWeight * e.NominalCapacity * b.capacity.factor(e) * e.outlier.healthMultiplier(b.now)
	if e.Zone == b.cfg.Zone {
		weight *= 1 + b.zonePreference()
	}
	if b.slowStart.warmingUp(e, b.now) {
		weight *= b.slowStart.capacityFraction(e, b.now)
	}
	return math.Max(weight, minWeight)
}

// zonePreference is what an endpoint of the own zone has more weight. Responses from elsewhere cost a
// penalty, which their delay soon outweighs.
func (b *Balancer) zonePreference() float64 {
	ease := 1 - zonePreferenceDecay*math.Max(0, b.latency.mean-b.latency.baseline)
	return zonePreference * b.cfg.Penalties.CrossZone * math.Max(0, ease)
}

// healthMultiplier falls with consecutive errors, recovers with time and has a floor.
func (o *outlierState) healthMultiplier(now float64) float64 {
	decayed := o.consecutiveErrors * math.Exp(-math.Ln2*(now-o.lastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*decayed, minHealth, 1)
}

// capacityModel learns how much more or less than their nominal capacity endpoints can do. Each has a
// logarithm of its own, beside one for its machine type and one for its zone, which all of these share.
type capacityModel struct {
	byMachineType map[int]float64
	byZone        map[int]float64
	updates       float64
	meanStep      float64
}

func newCapacityModel() capacityModel {
	return capacityModel{byMachineType: map[int]float64{}, byZone: map[int]float64{}}
}

// factor is an endpoint's learned multiple of its nominal capacity.
func (m *capacityModel) factor(e *endpoint) float64 {
	return math.Exp(e.learnedCapacity + m.byMachineType[e.MachineType] + m.byZone[e.Zone])
}

// learn moves the learned capacities until responses take equally long everywhere; the latency is relative to
// its class. The mean step is taken off: what all endpoints share is load, not capacity.
func (m *capacityModel) learn(e *endpoint, relativeLatency float64) {
	step := math.Max(-maxCapacityLoss, 1-relativeLatency)
	m.meanStep += (step - m.meanStep) / meanStepSamples
	m.updates++
	boost := 1 + initialLearningBoost/(1+m.updates/initialLearningSpan)
	step = capacityStep * boost * (step - m.meanStep)
	e.learnedCapacity = clampLog(e.learnedCapacity + step)
	m.byMachineType[e.MachineType] = clampLog(m.byMachineType[e.MachineType] + step/2)
	m.byZone[e.Zone] = clampLog(m.byZone[e.Zone] + step/2)
}

func clampLog(v float64) float64 { return clamp(v, -maxLogCapacity, maxLogCapacity) }

// learnCapacity learns from a response or an error, but not while the endpoint warms up.
func (b *Balancer) learnCapacity(e *endpoint, relativeLatency float64) {
	if !b.slowStart.warmingUp(e, b.now) {
		b.capacity.learn(e, relativeLatency)
	}
}
