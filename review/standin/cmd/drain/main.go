// Command drain is case 3: discovery is slow while a new configuration moves the sidecars to another address of it, and
// four of nine pick servers begin to drain. No new work may be sent to them once the change counts as told and the
// grace has passed.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"standin/kit"
)

const (
	slowCall  = 2500 * time.Millisecond // how long a call waits at the slow discovery; it gives up a call after 3 s
	toldAfter = 4000 * time.Millisecond // after the signal, everything that discovery has counts as told
	grace     = 1500 * time.Millisecond // rules.drain_grace_ms
	slack     = 50 * time.Millisecond   // every time limit is 50 ms longer on sockets
	toEnd     = 300 * time.Millisecond  // what was sent in time has ended by then: the longest request takes 240 ms
	beforeHup = 3 * time.Second         // from the start of the traffic to the signal
)

func main() { kit.Main(100*time.Second, run) }

func run(c *kit.Case) (broken bool, err error) {
	registry := kit.NewRegistry()
	servers, instances, err := kit.PickServers(9, registry, c.Record)
	if err != nil {
		return false, err
	}
	work := map[string]time.Duration{ // BRIEF, Requests: within the ranges of the mean work
		"next-pick": 80 * time.Millisecond, "bin-lookup": 85 * time.Millisecond,
		"confirm-pick": 200 * time.Millisecond, "close-tote": 240 * time.Millisecond,
	}
	for _, p := range servers {
		p.Service = func(class string) time.Duration { return work[class] }
	}
	discovery := kit.NewDiscovery(c.Record, instances)
	discovery.Wait = func(front string) time.Duration {
		if front == "new" && c.Trouble {
			return slowCall
		}
		return 0
	}
	oldFront, err := discovery.Listen("old")
	if err != nil {
		return false, err
	}
	newFront, err := discovery.Listen("new")
	if err != nil {
		return false, err
	}
	var sidecars []*kit.Sidecar
	for i := range 2 {
		name := fmt.Sprint("n", i+1)
		config := kit.Config(name, oldFront.Addr, fmt.Sprintf("8c1f30d27a5be96%d", i), discovery.Snapshot(), kit.Settings(i, 2))
		s, err := c.StartSidecar(config)
		if err != nil {
			return false, err
		}
		sidecars = append(sidecars, s)
	}
	var traffic sync.WaitGroup
	results := make([][]kit.Result, len(sidecars))
	for i, s := range sidecars {
		client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
		traffic.Go(func() { results[i] = client.Load(75, 12*time.Second, kit.Traffic) })
	}
	time.Sleep(beforeHup)
	for _, s := range sidecars {
		s.Config["discovery"] = newFront.Addr
		if err := s.WriteConfig(); err != nil {
			return false, err
		}
	}
	signalAt := time.Now()
	for _, s := range sidecars {
		s.Signal(syscall.SIGHUP)
	}
	c.Record.Add("SIGHUP to all sidecars, discovery moves to its new address")
	oldFront.Retire()
	time.Sleep(200 * time.Millisecond)
	draining := servers[:4] // STANDING, roll+mass: "half of the pick servers are replaced"
	for _, p := range draining {
		discovery.SetLifecycle(p.Name, "draining")
	}
	last := signalAt.Add(toldAfter + grace + slack)
	time.Sleep(time.Until(last.Add(toEnd)))
	for _, p := range draining {
		c.Record.Add("%s has finished what was sent to it in time and ends, with %d requests in hand", p.Name, p.InHand())
		p.End()
	}
	traffic.Wait()
	for _, s := range sidecars {
		if !s.Alive() {
			return false, fmt.Errorf("%s has ended", s.Name)
		}
	}
	before, late := 0, 0
	sentLate := map[string]bool{}
	for _, p := range draining {
		for _, a := range p.Arrivals() {
			switch {
			case a.FirstByte.After(last):
				late++
				sentLate[a.Sent.ID] = true
				c.Record.AddAt(a.FirstByte, "BREAK: %s got id=%s %.0f ms after the signal, %.0f ms after the end of the grace", a.Server,
					a.Sent.ID, float64(a.FirstByte.Sub(signalAt).Microseconds())/1000, float64(a.FirstByte.Sub(last).Microseconds())/1000)
			case a.FirstByte.Before(signalAt):
				before++
			}
		}
	}
	if before == 0 {
		return false, fmt.Errorf("the draining pick servers got no request before they began to drain")
	}
	lost, answered := 0, 0
	for _, list := range results {
		for _, r := range list {
			if r.Status == 200 {
				answered++
			}
			if sentLate[r.Request.ID] && r.Status != 200 {
				lost++
				c.Record.Add("LOST: %s id=%s was sent late and ended with status %d", r.Request.Class, r.Request.ID, r.Status)
			}
		}
	}
	c.Record.Say("requests sent to draining pick servers later than %v after the signal: %d; not served because these ended: %d; served in all: %d",
		toldAfter+grace+slack, late, lost, answered)
	return late > 0, nil
}
