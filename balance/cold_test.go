package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldDay is a fleet of balancers in virtual time that share servers, one or more of which start anew half-way.
type slowStartScenario struct {
	name                          string
	sidecars, endpointsPerSidecar int     // and servers for each
	load                          float64 // part of what all servers can do when warm
	skewed                        bool    // one in five has ten times the traffic of the others
	class                         int
	restartFraction               float64 // part of the servers that restart at coldAt, one at the least
	restDies                      bool    // ... and the others make no connections any more
	failureFraction               float64 // part of the attempts at the others that fail, and are tried again
	restartSidecars               bool    // all balancers are started then, too
	notificationDelay             float64 // ms by which some are told later
	endpoints, restarts           int
}

const (
	restartAt    = 8000.0 // ms
	observedTime = 8000.0 // ms that are looked at
	responseTime = 100.0
	endpointRate = 25.0 // of a warm server
)

type slowStartEvent struct {
	at  float64
	seq int
	run func()
}

type slowStartQueue []slowStartEvent

func (q slowStartQueue) Len() int { return len(q) }
func (q slowStartQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q slowStartQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *slowStartQueue) Push(v any)   { *q = append(*q, v.(slowStartEvent)) }
func (q *slowStartQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// coldWorld plays a coldDay.
type slowStartWorld struct {
	slowStartScenario
	t            *testing.T
	rnd          *rand.Rand
	now          float64
	seq          int
	queue        slowStartQueue
	lastID       RequestID
	listed       []Endpoint
	attemptTimes map[EndpointID][]float64 // times of attempts at those that restarted
	busyUntil    map[EndpointID]float64   // until when each server has work
}

func (w *slowStartWorld) after(ms float64, run func()) {
	w.seq++
	heap.Push(&w.queue, slowStartEvent{w.now + ms, w.seq, run})
}

// play returns the fullest window of FallTime, as a part of what is put down to chance beyond the budget, and which part
// of the plain budget was used in all.
func (d slowStartScenario) play(t *testing.T, seed uint64) (fullest, used float64) {
	w := &slowStartWorld{slowStartScenario: d, t: t, rnd: rand.New(rand.NewPCG(seed, 7)), attemptTimes: map[EndpointID][]float64{}, busyUntil: map[EndpointID]float64{}}
	w.endpoints = max(3, d.sidecars*d.endpointsPerSidecar/10)
	w.restarts = max(1, int(d.restartFraction*float64(w.endpoints)))
	w.listed = newEndpoints(w.endpoints)
	cfg := baseConfig()
	for n := range d.sidecars {
		w.balancer(n, cfg)
	}
	w.after(restartAt, func() {
		for i := range w.restarts {
			w.listed[i].StartedAt = w.now
			w.attemptTimes[w.listed[i].ID] = nil
		}
	})
	for w.queue.Len() > 0 && w.now < restartAt+observedTime {
		ev := heap.Pop(&w.queue).(slowStartEvent)
		w.now = ev.at
		ev.run()
	}
	budget := func(age, window float64) float64 { // requests that a server may be sent in a window that ends then
		return cfg.OverloadFactor * slowStartFractionAt(age) * endpointRate * window / 1000
	}
	for _, times := range w.attemptTimes {
		for i := range times {
			from := 0
			for ; times[from] <= times[i]-cfg.OverloadWindow; from++ {
			}
			n := budget(math.Max(0, times[i]-restartAt-cfg.OverloadWindow), cfg.OverloadWindow)
			fullest = math.Max(fullest, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
		used += float64(len(times)) / budget(observedTime/2, observedTime) / float64(len(w.attemptTimes))
	}
	return fullest, used
}

// warmthAt is the least part of its speed that a server has so long after its start.
func slowStartFractionAt(age float64) float64 {
	cfg := baseConfig()
	return cfg.SlowStartFraction + (1-cfg.SlowStartFraction)*math.Min(1, age/cfg.SlowStartDuration)
}

// balancer adds one with its clients.
func (w *slowStartWorld) balancer(n int, cfg Config) {
	cfg.Seed, cfg.PeerIndex, cfg.PeerCount = uint64(n)+100*w.rnd.Uint64N(1000), n, w.sidecars
	var b *Balancer
	told := false
	var apply func(b *Balancer, acts []Action)
	tell := func(b *Balancer, ev Event) {
		acts, err := b.Handle(w.now, ev)
		if err != nil {
			w.t.Fatal(err)
		}
		apply(b, append([]Action(nil), acts...))
	}
	apply = func(to *Balancer, acts []Action) {
		attempts := map[RequestID]int{}
		for _, a := range acts {
			switch a.Kind {
			case SetTimer:
				w.after(a.Delay, func() { tell(to, Timer{Token: a.Token}) })
			case StartAttempt:
				r := to.requests[a.Request]
				number := len(r.attempts) - 1 + attempts[a.Request]
				attempts[a.Request]++
				res, took := w.attempt(a.Endpoint, told)
				w.after(took, func() {
					if live := to.requests[a.Request]; live != nil && number < len(live.attempts) && live.attempts[number].inFlight {
						tell(to, AttemptResult{Request: a.Request, Attempt: number, Endpoint: a.Endpoint, Result: res, Latency: took, RequestClosed: res == OK})
					}
				})
			}
		}
	}
	start := func() {
		b = New(cfg)
		apply(b, append([]Action(nil), b.Start(w.now)...))
		tell(b, EndpointUpdate{Kind: Snapshot, Endpoints: w.listed})
	}
	start()
	w.after(restartAt+0.001+w.notificationDelay*w.rnd.Float64(), func() {
		if told = true; w.restartSidecars {
			cfg.Seed++
			start()
		} else {
			tell(b, EndpointUpdate{Kind: Delta, Endpoints: w.listed[:w.restarts]})
		}
	})
	parts, part := float64(w.sidecars), 1.0
	if w.skewed {
		parts = 2.8 * float64(w.sidecars)
		if n%5 == 0 {
			part = 10
		}
	}
	pause := func() float64 {
		return w.rnd.ExpFloat64() * 1000 * parts / part / (w.load * endpointRate * float64(w.endpoints))
	}
	var ask func()
	ask = func() {
		w.lastID++
		tell(b, Request{ID: w.lastID, Class: w.class, Timeout: cfg.Classes[w.class].Deadline})
		w.after(pause(), ask)
	}
	w.after(pause(), ask)
}

// attempt is what comes of one, and when.
func (w *slowStartWorld) attempt(id EndpointID, told bool) (Result, float64) {
	if times, cold := w.attemptTimes[id]; cold && told {
		w.attemptTimes[id] = append(times, w.now)
	} else if cold { // whoever has yet to be told breaks no rule
	} else if w.now > restartAt && w.restDies {
		return ConnectFailed, 1
	} else if w.rnd.Float64() < w.failureFraction {
		return ServerError, 5
	}
	speed := 1.0
	if _, cold := w.attemptTimes[id]; cold {
		speed = slowStartFractionAt(w.now - restartAt)
	}
	w.busyUntil[id] = math.Max(w.busyUntil[id], w.now) + 1000/endpointRate/speed
	return OK, math.Max(responseTime, w.busyUntil[id]-w.now)
}

// What all sidecars together send to a server that has just started stays under what it bears, with little left to chance,
// whatever the others do; still it is in use as it warms.
func TestSlowStartBudgetHoldsAcrossFleet(t *testing.T) {
	for _, balancers := range []int{2, 8, 20, 30, 300} {
		for _, d := range []slowStartScenario{
			{name: "even", load: 0.7},
			{name: "skewed", load: 0.7, skewed: true},
			{name: "overload", load: 1.3},
			{name: "retries", load: 0.7, failureFraction: 0.5},
			{name: "keyed to a cell", load: 0.7, class: cellKeyClass, failureFraction: 0.3},
			{name: "not repeatable", load: 0.7, class: nonIdempotentClass, failureFraction: 0.3},
			{name: "all started anew", load: 0.7, restartSidecars: true},
			{name: "most restart", load: 0.7, restartFraction: 0.8},
			{name: "all restart", load: 0.7, restartFraction: 1},
			{name: "the others die", load: 0.7, restartFraction: 0.1, restDies: true},
			{name: "the others die and all start anew", load: 0.7, restartFraction: 0.1, restDies: true, restartSidecars: true},
			{name: "told late", load: 0.7, notificationDelay: 900},
		} {
			d.sidecars, d.endpointsPerSidecar = balancers, 4
			if balancers == 300 {
				d.endpointsPerSidecar = 2
			}
			var fullest, used float64
			for seed := range uint64(2) {
				f, u := d.play(t, seed)
				fullest, used = math.Max(fullest, f), used+u/2
			}
			t.Log(fmt.Sprintf("%3d balancers, %-36s fullest window %.2f of what is allowed, %.2f of the budget used", balancers, d.name+":", fullest, used))
			if fullest > 1 {
				t.Errorf("%d balancers, %s: %.2f of what is allowed in a window", balancers, d.name, fullest)
			}
		}
	}
}
