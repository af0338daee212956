package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// cancelSimulation plays an application with steady requests beside clients that send a request, leave after a few
// milliseconds and come again at once, at a fleet in which some endpoints hang.
type cancelSimulation struct {
	*harness
	random  *rand.Rand
	events  simulatedEvents
	hanging int // endpoints with the first IDs hang
	impatient
	application
}

// impatient describes the clients that leave.
type impatient struct {
	clients    int
	leaveAfter float64 // the longest time in ms
	leaving    map[RequestID]bool
}

// application describes the steady requests and what became of them.
type application struct {
	interval         float64 // ms between two requests
	sent, rejected   int
	applicationCalls map[RequestID]bool
}

const (
	simulatedService = 20.0 // ms that an endpoint takes for a request
	simulatedTimeout = 500.0
)

// simulatedEvent is something that happens at a time in ms.
type simulatedEvent struct {
	at  float64
	run func()
}

// simulatedEvents is a heap of events, the earliest first.
type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int           { return len(e) }
func (e simulatedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simulatedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)        { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *cancelSimulation) after(delay float64, run func()) {
	heap.Push(&s.events, simulatedEvent{at: s.now + delay, run: run})
}

// run plays the simulation for a time in ms.
func (s *cancelSimulation) run(duration float64) {
	s.leaving, s.applicationCalls = map[RequestID]bool{}, map[RequestID]bool{}
	for range s.clients {
		s.after(0, s.sendImpatiently)
	}
	s.after(0, s.sendSteadily)
	for end := s.now + duration; s.events[0].at < end; {
		event := heap.Pop(&s.events).(simulatedEvent)
		s.now = event.at
		event.run()
	}
}

// sendImpatiently sends a request whose client leaves soon and comes again.
func (s *cancelSimulation) sendImpatiently() {
	s.lastID++
	id := s.lastID
	s.leaving[id] = true
	s.perform(s.handle(Request{ID: id, Class: idempotentClass, Timeout: simulatedTimeout}))
	s.after(1+s.random.Float64()*s.leaveAfter, func() {
		if s.b.requests[id] != nil {
			s.perform(s.handle(ClientCanceled{Request: id}))
		}
		s.sendImpatiently()
	})
}

// sendSteadily sends a request of the application and arranges for the next one.
func (s *cancelSimulation) sendSteadily() {
	s.lastID++
	s.sent++
	s.applicationCalls[s.lastID] = true
	class := []int{idempotentClass, nonIdempotentClass, globalKeyClass}[s.sent%3]
	s.perform(s.handle(Request{ID: s.lastID, Class: class, Timeout: simulatedTimeout}))
	s.after(s.interval, s.sendSteadily)
}

// perform carries out actions of the balancer.
func (s *cancelSimulation) perform(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case StartAttempt:
			s.startAttempt(a, len(s.b.requests[a.Request].attempts)-1)
		case CancelAttempt:
			s.finish(a.Request, a.Attempt, Canceled)
		case SetTimer:
			s.after(a.Delay, func() { s.perform(s.handle(Timer{Token: a.Token})) })
		case Reject:
			if r := s.b.requests[a.Request]; s.applicationCalls[a.Request] && (r == nil || len(r.attempts) == 0) {
				s.rejected++
			}
		}
	}
}

// startAttempt lets an endpoint serve an attempt, or hang until the client's deadline.
func (s *cancelSimulation) startAttempt(a Action, number int) {
	if int(a.Endpoint) <= s.hanging {
		s.after(simulatedTimeout, func() { s.finish(a.Request, number, TimedOut) })
		return
	}
	s.after(simulatedService, func() { s.finish(a.Request, number, OK) })
}

// finish ends an attempt, unless it has ended.
func (s *cancelSimulation) finish(id RequestID, number int, result Result) {
	r := s.b.requests[id]
	if r == nil || !r.hasInFlight(number) {
		return
	}
	s.perform(s.finishAttempt(id, number, result, s.now-r.attempts[number].sentAt))
}

// Guards against clients that leave and thereby make the fleet look full, so that the application's requests are
// rejected although most endpoints could serve them.
func TestLeavingClientsDoNotCauseShedding(t *testing.T) {
	for _, clients := range []int{0, 40} {
		for seed := range uint64(6) {
			cfg := baseConfig()
			cfg.Seed, cfg.ClientsMarkRetries = seed, true
			s := cancelSimulation{
				harness: newHarness(t, cfg, newEndpoints(9)...), random: rand.New(rand.NewPCG(seed, 0)), hanging: 3,
			}
			s.clients, s.leaveAfter, s.interval = clients, 5, 1000.0/60
			s.run(8_000)
			if s.rejected*100 > s.sent*2 {
				t.Errorf("%d clients, seed %d: %d of %d requests of the application rejected, want at most 2 in 100; %+v",
					clients, seed, s.rejected, s.sent, s.b.Stats())
			}
		}
	}
}
