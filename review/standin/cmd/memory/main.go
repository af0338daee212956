// Command memory is case 2: the traffic of a sidecar jumps to one and a half times the usual while its requests have
// bodies of the largest size. The platform kills a sidecar that needs more than its memory limit.
package main

import (
	"fmt"
	"strings"
	"time"

	"standin/kit"
)

const (
	memoryMB    = 64  // limits.memory_mb; TERMS: 32 to 192
	descriptors = 384 // limits.sockets; TERMS: 256 to 1,024
	usualRate   = 250 // requests a second at this sidecar; REPORTS, case3864: 248
	burstRate   = 375 // STANDING, calm+mass: "a burst of half as much again"
	usualLength = 9 * time.Second
	burstLength = 9800 * time.Millisecond // BRIEF: "for 2.3 to 9.8 s"
	bodySize    = 64 << 10                // PROTOCOL: "A body holds 64 KiB at most"
)

func main() { kit.Main(60*time.Second, run) }

func run(c *kit.Case) (broken bool, err error) {
	registry := kit.NewRegistry()
	_, instances, err := kit.PickServers(9, registry, c.Record)
	if err != nil {
		return false, err
	}
	discovery := kit.NewDiscovery(c.Record, instances)
	front, err := discovery.Listen("a")
	if err != nil {
		return false, err
	}
	config := kit.Config("n1", front.Addr, "8c1f30d27a5be964", discovery.Snapshot(), kit.CensusSettings(0, 2))
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	s, err := c.StartSidecar(config)
	if err != nil {
		return false, err
	}
	platform := kit.WatchMemory(c.Record, s, memoryMB)
	client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
	body := strings.Repeat("x", bodySize)
	next := func(n int) kit.Request { return kit.CensusTraffic(n, body) }
	results := client.Load(usualRate, usualLength, next)
	c.Record.Say("usual traffic: most memory so far %d of %d kB", platform.Most(), memoryMB<<10)
	if c.Trouble {
		results = append(results, client.Load(burstRate, burstLength, next)...)
	} else {
		results = append(results, client.Load(usualRate, burstLength, next)...)
	}
	served, unanswered, inTime := 0, 0, 0
	killedAt := platform.KilledAt()
	for _, r := range results {
		if !killedAt.IsZero() && r.SentAt.After(killedAt) {
			continue // no sidecar was running
		}
		if r.Status == 200 {
			served++
			if r.Duration < 600*time.Millisecond {
				inTime++
			}
		}
		if r.Status == 0 {
			unanswered++
		}
	}
	c.Record.Say("requests: %d served (%d of them within 600 ms), %d never answered; most open at once %d of %d allowed",
		served, inTime, unanswered, client.MostOpen(), descriptors/3)
	if served == 0 || client.MostOpen() > descriptors/3 && killedAt.IsZero() {
		return false, fmt.Errorf("the clients could not keep to what the pages allow them")
	}
	c.Record.Say("most memory %d of %d kB, sidecar killed: %v", platform.Most(), memoryMB<<10, !killedAt.IsZero())
	return !killedAt.IsZero(), nil
}
