package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldDay is a fleet of balancers in virtual time that share servers, one or more of which start anew half-way.
type coldDay struct {
	name              string
	balancers, each   int     // and servers for each
	load              float64 // part of what all servers can do when warm
	skewed            bool    // one in five has ten times the traffic of the others
	class             int
	restart           float64 // part of the servers that restart at coldAt, one at the least
	die               bool    // ... and the others make no connections any more
	fails             float64 // part of the attempts at the others that fail, and are tried again
	anew              bool    // all balancers are started then, too
	late              float64 // ms by which some are told later
	servers, restarts int
}

const (
	coldAt    = 8000.0 // ms
	coldFor   = 8000.0 // ms that are looked at
	answerMs  = 100.0
	serverRPS = 25.0 // of a warm server
)

type coldEvent struct {
	at  float64
	seq int
	run func()
}

type coldQueue []coldEvent

func (q coldQueue) Len() int { return len(q) }
func (q coldQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q coldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *coldQueue) Push(v any)   { *q = append(*q, v.(coldEvent)) }
func (q *coldQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// coldWorld plays a coldDay.
type coldWorld struct {
	coldDay
	t     *testing.T
	rnd   *rand.Rand
	now   float64
	seq   int
	queue coldQueue
	next  RequestID
	list  []Server
	sent  map[ServerID][]float64 // times of attempts at those that restarted
	busy  map[ServerID]float64   // until when each server has work
}

func (w *coldWorld) after(ms float64, run func()) {
	w.seq++
	heap.Push(&w.queue, coldEvent{w.now + ms, w.seq, run})
}

// play returns the fullest window of FallTime, as a part of what is put down to chance beyond the budget, and which part
// of the plain budget was used in all.
func (d coldDay) play(t *testing.T, seed uint64) (fullest, used float64) {
	w := &coldWorld{coldDay: d, t: t, rnd: rand.New(rand.NewPCG(seed, 7)), sent: map[ServerID][]float64{}, busy: map[ServerID]float64{}}
	w.servers = max(3, d.balancers*d.each/10)
	w.restarts = max(1, int(d.restart*float64(w.servers)))
	w.list = fleet(w.servers)
	cfg := baseConfig()
	for n := range d.balancers {
		w.balancer(n, cfg)
	}
	w.after(coldAt, func() {
		for i := range w.restarts {
			w.list[i].StartedAt = w.now
			w.sent[w.list[i].ID] = nil
		}
	})
	for w.queue.Len() > 0 && w.now < coldAt+coldFor {
		ev := heap.Pop(&w.queue).(coldEvent)
		w.now = ev.at
		ev.run()
	}
	budget := func(age, window float64) float64 { // requests that a server may be sent in a window that ends then
		return cfg.FallMultiple * warmthAt(age) * serverRPS * window / 1000
	}
	for _, times := range w.sent {
		for i := range times {
			from := 0
			for ; times[from] <= times[i]-cfg.FallTime; from++ {
			}
			n := budget(math.Max(0, times[i]-coldAt-cfg.FallTime), cfg.FallTime)
			fullest = math.Max(fullest, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
		used += float64(len(times)) / budget(coldFor/2, coldFor) / float64(len(w.sent))
	}
	return fullest, used
}

// warmthAt is the least part of its speed that a server has so long after its start.
func warmthAt(age float64) float64 {
	cfg := baseConfig()
	return cfg.ColdFrom + (1-cfg.ColdFrom)*math.Min(1, age/cfg.ColdTime)
}

// balancer adds one with its clients.
func (w *coldWorld) balancer(n int, cfg Config) {
	cfg.Seed, cfg.Number, cfg.Peers = uint64(n)+100*w.rnd.Uint64N(1000), n, w.balancers
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
				w.after(a.At, func() { tell(to, Timer{Token: a.Token}) })
			case Send:
				r := to.reqs[a.Request]
				number := len(r.tries) - 1 + attempts[a.Request]
				attempts[a.Request]++
				res, took := w.attempt(a.Server, told)
				w.after(took, func() {
					if live := to.reqs[a.Request]; live != nil && number < len(live.tries) && live.tries[number].live {
						tell(to, Outcome{Request: a.Request, Attempt: number, Server: a.Server, Result: res, Took: took, Finished: res == OK})
					}
				})
			}
		}
	}
	start := func() {
		b = New(cfg)
		apply(b, append([]Action(nil), b.Start(w.now)...))
		tell(b, ServerList{Kind: ListFull, Servers: w.list})
	}
	start()
	w.after(coldAt+0.001+w.late*w.rnd.Float64(), func() {
		if told = true; w.anew {
			cfg.Seed++
			start()
		} else {
			tell(b, ServerList{Kind: ListDelta, Servers: w.list[:w.restarts]})
		}
	})
	parts, part := float64(w.balancers), 1.0
	if w.skewed {
		parts = 2.8 * float64(w.balancers)
		if n%5 == 0 {
			part = 10
		}
	}
	pause := func() float64 {
		return w.rnd.ExpFloat64() * 1000 * parts / part / (w.load * serverRPS * float64(w.servers))
	}
	var ask func()
	ask = func() {
		w.next++
		tell(b, Request{ID: w.next, Class: w.class, Remaining: cfg.Classes[w.class].Deadline})
		w.after(pause(), ask)
	}
	w.after(pause(), ask)
}

// attempt is what comes of one, and when.
func (w *coldWorld) attempt(id ServerID, told bool) (Result, float64) {
	if times, cold := w.sent[id]; cold && told {
		w.sent[id] = append(times, w.now)
	} else if cold { // whoever has yet to be told breaks no rule
	} else if w.now > coldAt && w.die {
		return ConnectFailed, 1
	} else if w.rnd.Float64() < w.fails {
		return Failed, 5
	}
	speed := 1.0
	if _, cold := w.sent[id]; cold {
		speed = warmthAt(w.now - coldAt)
	}
	w.busy[id] = math.Max(w.busy[id], w.now) + 1000/serverRPS/speed
	return OK, math.Max(answerMs, w.busy[id]-w.now)
}

// What all sidecars together send to a server that has just started stays under what it bears, with little left to chance,
// whatever the others do; still it is in use as it warms.
func TestColdServersUnderTheSumOfAFleet(t *testing.T) {
	for _, balancers := range []int{2, 8, 20, 30, 300} {
		for _, d := range []coldDay{
			{name: "even", load: 0.7},
			{name: "skewed", load: 0.7, skewed: true},
			{name: "overload", load: 1.3},
			{name: "retries", load: 0.7, fails: 0.5},
			{name: "keyed to a cell", load: 0.7, class: cellClass, fails: 0.3},
			{name: "not repeatable", load: 0.7, class: unsafeClass, fails: 0.3},
			{name: "all started anew", load: 0.7, anew: true},
			{name: "most restart", load: 0.7, restart: 0.8},
			{name: "all restart", load: 0.7, restart: 1},
			{name: "the others die", load: 0.7, restart: 0.1, die: true},
			{name: "the others die and all start anew", load: 0.7, restart: 0.1, die: true, anew: true},
			{name: "told late", load: 0.7, late: 900},
		} {
			d.balancers, d.each = balancers, 4
			if balancers == 300 {
				d.each = 2
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
