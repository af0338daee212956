package kit

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Platform is the stand-in for the platform's memory limit.
type Platform struct {
	reads chan func()
	kB    int
	kill  time.Time // when the sidecar was killed
}

// WatchMemory reads the resident memory of a sidecar every 20 ms, and kills the sidecar once it exceeds the limit.
func WatchMemory(record *Record, s *Sidecar, memoryMB int) *Platform {
	p := &Platform{reads: make(chan func())}
	go func() {
		for tick := time.NewTicker(20 * time.Millisecond); ; {
			select {
			case f := <-p.reads:
				f()
			case <-tick.C:
				kB := residentKB(s.Cmd.Process.Pid)
				if kB > p.kB {
					p.kB = kB
					record.Add("memory of %s: %d kB", s.Name, kB)
				}
				if kB > memoryMB<<10 && p.kill.IsZero() {
					p.kill = time.Now()
					record.Add("platform: %s needs %d kB of %d kB and is killed", s.Name, kB, memoryMB<<10)
					s.Signal(syscall.SIGKILL)
				}
			}
		}
	}()
	return p
}

// Most returns the largest resident memory so far in kB.
func (p *Platform) Most() (kB int) {
	p.do(func() { kB = p.kB })
	return kB
}

// KilledAt returns when the sidecar was killed, the zero time if it was not.
func (p *Platform) KilledAt() (t time.Time) {
	p.do(func() { t = p.kill })
	return t
}

func (p *Platform) do(f func()) {
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
