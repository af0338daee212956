package balance

import "math"

const (
	// errorHalfLife is the time in ms, counted from an endpoint's last error, after which the effect of its
	// consecutive errors on its health multiplier has halved. Faults last for seconds. The multiplier is a
	// factor of the endpoint's weight and is 1 without recent errors.
	errorHalfLife = 5000
	// errorPenalty is the amount by which each consecutive error (without a response in between) lowers an
	// endpoint's health multiplier, which never falls below minHealth. The multiplier is a factor of the
	// endpoint's weight and is 1 without recent errors.
	errorPenalty = 0.2
	// minHealth is the lower bound of an endpoint's health multiplier. The multiplier is a factor of the
	// endpoint's weight and is 1 without recent errors. The bound keeps some requests going to an unhealthy
	// endpoint, so that its recovery is noticed.
	minHealth = 0.25
	// nonIdempotentMinHealth is the health multiplier below which an endpoint gets no non-idempotent
	// requests while there are healthier endpoints, as these requests must not run twice. The multiplier is
	// a factor of the endpoint's weight and is 1 without recent errors.
	nonIdempotentMinHealth = 0.9
	// baseWeight is the weight in the smooth weighted round robin of an endpoint with a nominal capacity of
	// 1 (Endpoint.NominalCapacity), before learned capacity, errors, zone and slow start change the weight.
	// Weights have no unit.
	baseWeight = 100
	// minWeight is the lower bound of an endpoint's weight in the smooth weighted round robin. Weights have
	// no unit; a healthy endpoint of nominal capacity 1 has the weight baseWeight. A weight of 0 would
	// exclude the endpoint.
	minWeight = 1e-6
	// zonePreferenceFactor determines the preference for endpoints in the sidecar's own zone: at the
	// baseline latency their weight is multiplied by 1 + zonePreferenceFactor*Penalties.CrossZone. The
	// preference falls as responses become slower; see zonePreferenceDecay.
	zonePreferenceFactor = 400
	// zonePreferenceDecay is the fraction of the preference for endpoints in the sidecar's own zone that is
	// lost for each latency objective by which the sidecar's mean latency exceeds its baseline latency. At
	// 1/zonePreferenceDecay of an objective above the baseline, no preference is left.
	zonePreferenceDecay = 4

	// capacityLearningRate is the learning rate of endpoint capacities: each response or error adds
	// capacityLearningRate*(step - mean step) to the natural logarithm of the endpoint's learned capacity,
	// where step is 1-latency/(mean latency of the class). The learned capacities of the machine type and
	// the zone change by half as much.
	capacityLearningRate = 0.01
	// maxLogCapacity is the upper bound, and its negative the lower bound, on the natural logarithm of each
	// of the three factors of an endpoint's learned capacity: the factor of the endpoint itself, of its
	// machine type and of its zone.
	maxLogCapacity = 2.5
	// maxLatencyExcess is the upper bound on the excess with which a slow response or an error counts when
	// the capacities of endpoints are learned. The excess is (latency-mean)/mean, where mean is the mean
	// latency of the class.
	maxLatencyExcess = 2
	// meanStepSamples is the number of responses and errors over which the mean step of the learned
	// capacities of all endpoints is averaged, by an exponential moving average. A step is 1-latency/(mean
	// latency of the class). The mean step is subtracted from each step, as a change at all endpoints is
	// due to load.
	meanStepSamples = 200
	// initialLearningBoost is the initial increase of the learning rate of endpoint capacities: after n
	// responses and errors the rate is multiplied by 1 + initialLearningBoost/(1+n/initialLearningSamples).
	// The increase is needed because a restarted sidecar has not learned any capacities.
	initialLearningBoost = 8
	// initialLearningSamples is the number of responses and errors after which the initial increase of the
	// learning rate of endpoint capacities has halved. After n responses and errors the increase is
	// initialLearningBoost/(1+n/initialLearningSamples). All successful responses to this sidecar and all its
	// errors (failed or overdue attempts) count, over all endpoints except those that warm up.
	initialLearningSamples = 50
	// errorLatencyRatio is the latency with which an error (a failed or overdue attempt) counts when the
	// capacities of endpoints are learned, as a multiple of the mean latency of the request's class.
	errorLatencyRatio = 3
)

// weightOf returns an endpoint's weight in the round robin: its learned capacity times its health multiplier,
// raised in the sidecar's own zone and lowered while the endpoint warms up.
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

// zonePreference returns the additional weight of endpoints in the sidecar's own zone, as a multiple of their
// weight. A response from another zone costs a penalty, but the delay of slow responses soon costs more than
// the penalty. So the preference falls as responses become slower.
func (b *Balancer) zonePreference() float64 {
	remaining := 1 - zonePreferenceDecay*math.Max(0, b.latency.mean-b.latency.baseline)
	return zonePreferenceFactor * b.cfg.Penalties.CrossZone * math.Max(0, remaining)
}

// healthMultiplier returns the factor, from minHealth to 1, by which errors lower the endpoint's weight. It
// falls with consecutive errors and recovers with time.
func (o *outlierState) healthMultiplier(now float64) float64 {
	decayed := o.consecutiveErrors * math.Exp(-math.Ln2*(now-o.lastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*decayed, minHealth, 1)
}

// capacityModel learns how much more or less than their nominal capacity endpoints can serve. The logarithm
// of an endpoint's learned capacity is the sum of three parts: learnedLogCapacity of the endpoint, a part
// that is shared by all endpoints of its machine type, and a part that is shared by all endpoints of its
// zone.
type capacityModel struct {
	byMachineType map[int]float64 // log of the capacity factor learned for each machine type
	byZone        map[int]float64 // log of the capacity factor learned for each zone
	updates       float64         // number of responses and errors learned from
	meanStep      float64         // mean step of all endpoints, before the learning rate is applied
}

func newCapacityModel() capacityModel {
	return capacityModel{byMachineType: map[int]float64{}, byZone: map[int]float64{}}
}

// factor returns an endpoint's learned capacity as a multiple of its nominal capacity.
func (m *capacityModel) factor(e *endpoint) float64 {
	return math.Exp(e.learnedLogCapacity + m.byMachineType[e.MachineType] + m.byZone[e.Zone])
}

// learn adjusts the learned capacities of an endpoint, its machine type and its zone, so that the latencies
// of all endpoints become equal. The latency is given as a multiple of the mean latency of the request's
// class. The mean step is subtracted, because a change at all endpoints is due to load, not to capacity.
func (m *capacityModel) learn(e *endpoint, relativeLatency float64) {
	step := math.Max(-maxLatencyExcess, 1-relativeLatency)
	m.meanStep += (step - m.meanStep) / meanStepSamples
	m.updates++
	boost := 1 + initialLearningBoost/(1+m.updates/initialLearningSamples)
	step = capacityLearningRate * boost * (step - m.meanStep)
	e.learnedLogCapacity = clampLog(e.learnedLogCapacity + step)
	m.byMachineType[e.MachineType] = clampLog(m.byMachineType[e.MachineType] + step/2)
	m.byZone[e.Zone] = clampLog(m.byZone[e.Zone] + step/2)
}

func clampLog(v float64) float64 { return clamp(v, -maxLogCapacity, maxLogCapacity) }

// learnCapacity adjusts the learned capacities by a response or an error, except while the endpoint warms up.
func (b *Balancer) learnCapacity(e *endpoint, relativeLatency float64) {
	if !b.slowStart.warmingUp(e, b.now) {
		b.capacity.learn(e, relativeLatency)
	}
}
