package balance_test

import (
	"fmt"
	"testing"

	"pebblelift/balance"
)

// gossipTimerToken is the token of the timer that makes a sidecar send its gossip.
const gossipTimerToken = 1<<60 + 1

// benchmarkFleet is a fleet size at which the benchmarks run: the numbers of sidecars and endpoints.
type benchmarkFleet struct{ sidecars, endpoints int }

var benchmarkFleets = []benchmarkFleet{{80, 60}, {300, 200}}

func (f benchmarkFleet) String() string { return fmt.Sprintf("%dx%d", f.sidecars, f.endpoints) }

// config returns the settings of the sidecar with the given peer index.
func (f benchmarkFleet) config(index int) balance.Config {
	return balance.Config{
		Seed: uint64(index + 1), PeerIndex: index, PeerCount: f.sidecars, Gossip: true, Subscribe: true,
		CancelAttempts: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 1000, BatchInterval: 4,
		SlowStartFraction: 0.2, SlowStartDuration: 20000, OverloadFactor: 2.5, OverloadWindow: 1000,
		PollInterval: 10000, DrainGrace: 2000,
		Classes: []balance.Class{
			{Idempotency: balance.Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: balance.NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
		},
	}
}

// list returns the endpoint list of the fleet.
func (f benchmarkFleet) list() []balance.Endpoint {
	list := make([]balance.Endpoint, f.endpoints)
	for i := range list {
		list[i] = balance.Endpoint{ID: balance.EndpointID(i + 1), NominalCapacity: 1, Cell: i / 6, Zone: i % 3, MachineType: i % 2}
	}
	return list
}

// benchmarkSidecar passes events to one balancer, with a simulated clock.
type benchmarkSidecar struct {
	b        *testing.B
	balancer *balance.Balancer
	now      float64 // current time, ms
	lastID   balance.RequestID
}

func (f benchmarkFleet) newSidecar(b *testing.B, index int) *benchmarkSidecar {
	s := &benchmarkSidecar{b: b, balancer: balance.New(f.config(index)), now: 1e6}
	s.balancer.Start(s.now)
	s.handle(balance.EndpointUpdate{Kind: balance.Snapshot, Endpoints: f.list()})
	return s
}

func (s *benchmarkSidecar) handle(event balance.Event) []balance.Action {
	actions, err := s.balancer.Handle(s.now, event)
	if err != nil {
		s.b.Fatal(err)
	}
	return actions
}

// request sends a new request and returns the endpoint of its first attempt, and whether one was started.
func (s *benchmarkSidecar) request() (to balance.EndpointID, started bool) {
	s.now += 5
	s.lastID++
	for _, a := range s.handle(balance.Request{ID: s.lastID, Timeout: 1500}) {
		if a.Kind == balance.StartAttempt {
			return a.Endpoint, true
		}
	}
	return 0, false
}

// respond ends the attempt of the last request with success.
func (s *benchmarkSidecar) respond(to balance.EndpointID) {
	s.handle(balance.AttemptResult{Request: s.lastID, Endpoint: to, Result: balance.OK, Latency: 60, RequestClosed: true})
}

// BenchmarkRequestAndResponse measures the handling of one request and its response.
func BenchmarkRequestAndResponse(b *testing.B) {
	for _, fleet := range benchmarkFleets {
		b.Run(fleet.String(), func(b *testing.B) {
			s := fleet.newSidecar(b, 0)
			b.ReportAllocs()
			for b.Loop() {
				if to, started := s.request(); started {
					s.respond(to)
				}
			}
		})
	}
}

// BenchmarkDelta measures the handling of an endpoint update with one changed entry.
func BenchmarkDelta(b *testing.B) {
	for _, fleet := range benchmarkFleets {
		b.Run(fleet.String(), func(b *testing.B) {
			s := fleet.newSidecar(b, 0)
			entries := fleet.list()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.now += 100
				entry := entries[i%len(entries)]
				entry.Lifecycle = balance.Lifecycle(i / len(entries) % 2) // ready, then draining
				s.handle(balance.EndpointUpdate{Kind: balance.Delta, Endpoints: []balance.Endpoint{entry}})
			}
		})
	}
}

// BenchmarkGossipRound measures a gossip round: a sidecar handles a request, sends a message about the change
// at that endpoint, and a peer receives the message.
func BenchmarkGossipRound(b *testing.B) {
	for _, fleet := range benchmarkFleets {
		b.Run(fleet.String(), func(b *testing.B) {
			sender, receiver := fleet.newSidecar(b, 0), fleet.newSidecar(b, 8)
			b.ReportAllocs()
			for b.Loop() {
				to, started := sender.request()
				receiver.now = sender.now
				for _, a := range sender.handle(balance.Timer{Token: gossipTimerToken}) {
					if a.Kind == balance.SendGossip {
						receiver.handle(balance.GossipMessage{Sender: 0, Data: a.Data})
						break
					}
				}
				if started {
					sender.respond(to)
				}
			}
		})
	}
}
