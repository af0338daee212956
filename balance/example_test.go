package balance_test

import (
	"fmt"

	"pebblelift/balance"
)

// A sidecar passes events to its balancer and carries out the actions that the balancer returns.
func Example() {
	b := balance.New(balance.Config{
		Seed:        1,
		MaxAttempts: 2,
		Classes: []balance.Class{
			{Idempotency: balance.Idempotent, LatencyObjective: 100, Deadline: 400, PriorityWeight: 1},
		},
	})
	b.Start(0)
	show := func(now float64, event balance.Event) {
		actions, err := b.Handle(now, event)
		if err != nil {
			fmt.Println("invalid event:", err)
		}
		for _, a := range actions {
			switch a.Kind {
			case balance.StartAttempt:
				fmt.Printf("%v ms: send request %d to endpoint %d\n", now, a.Request, a.Endpoint)
			case balance.SetTimer:
				fmt.Printf("%v ms: timer %d in %v ms\n", now, a.Token, a.Delay)
			case balance.Reject:
				fmt.Printf("%v ms: reject request %d\n", now, a.Request)
			}
		}
	}
	show(0, balance.EndpointUpdate{
		Kind:      balance.Snapshot,
		Endpoints: []balance.Endpoint{{ID: 10, NominalCapacity: 1}, {ID: 20, NominalCapacity: 1}},
	})
	show(5, balance.Request{ID: 1, Timeout: 400})
	show(6, balance.AttemptResult{Request: 1, Endpoint: 20, Result: balance.Rejected, Latency: 1})
	show(9, balance.AttemptResult{
		Request:       1,
		Attempt:       1,
		Endpoint:      10,
		Result:        balance.OK,
		Latency:       3,
		RequestClosed: true,
	})
	// Output:
	// 5 ms: send request 1 to endpoint 20
	// 5 ms: timer 1 in 50 ms
	// 6 ms: send request 1 to endpoint 10
}
