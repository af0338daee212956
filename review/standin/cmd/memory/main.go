// Command memory is case 2: the traffic of a sidecar jumps to one and a half times the usual while its requests have
// bodies of the largest size. The platform kills a sidecar that needs more than its memory limit.
package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
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
	platform := watchMemory(c, s)
	client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
	body := strings.Repeat("x", bodySize)
	next := func(n int) kit.Request { return kit.CensusTraffic(n, body) }
	results := client.Load(usualRate, usualLength, next)
	c.Record.Say("usual traffic: most memory so far %d of %d kB", platform.most(), memoryMB<<10)
	if c.Trouble {
		results = append(results, client.Load(burstRate, burstLength, next)...)
	} else {
		results = append(results, client.Load(usualRate, burstLength, next)...)
	}
	served, unanswered, inTime := 0, 0, 0
	killedAt := platform.killedAt()
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
	c.Record.Say("most memory %d of %d kB, sidecar killed: %v", platform.most(), memoryMB<<10, !killedAt.IsZero())
	return !killedAt.IsZero(), nil
}

// platform is the stand-in for the platform's memory limit.
type platform struct {
	reads chan func()
	kB    int
	kill  time.Time // when the sidecar was killed
}

// watchMemory reads the resident memory of a sidecar every 20 ms, and kills the sidecar once it exceeds the limit.
func watchMemory(c *kit.Case, s *kit.Sidecar) *platform {
	p := &platform{reads: make(chan func())}
	go func() {
		for tick := time.NewTicker(20 * time.Millisecond); ; {
			select {
			case f := <-p.reads:
				f()
			case <-tick.C:
				kB := residentKB(s.Cmd.Process.Pid)
				if kB > p.kB {
					p.kB = kB
					c.Record.Add("memory of %s: %d kB", s.Name, kB)
				}
				if kB > memoryMB<<10 && p.kill.IsZero() {
					p.kill = time.Now()
					c.Record.Add("platform: %s needs %d kB of %d kB and is killed", s.Name, kB, memoryMB<<10)
					s.Signal(syscall.SIGKILL)
				}
			}
		}
	}()
	return p
}

func (p *platform) most() (kB int) {
	p.do(func() { kB = p.kB })
	return kB
}

func (p *platform) killedAt() (t time.Time) {
	p.do(func() { t = p.kill })
	return t
}

func (p *platform) do(f func()) {
	done := make(chan struct{})
	p.reads <- func() {
		f()
		close(done)
	}
	<-done
}

// residentKB returns the resident memory of a process in kB, 0 if it has ended.
func residentKB(pid int) (kB int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "VmRSS:") {
			fmt.Sscanf(line, "VmRSS: %d kB", &kB)
		}
	}
	return kB
}
