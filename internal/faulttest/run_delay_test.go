package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// runDelays follows for how long the threads of a process were ready to run and got no processor, because the machine was
// busy with other work. Linux tells this in schedstat.
type runDelays struct {
	pid int

	mu      sync.Mutex
	samples []runDelaySample
}

// runDelaySample holds how long each thread has waited for a processor, by thread ID, up to some time.
type runDelaySample struct {
	at     time.Time
	waited map[string]time.Duration
}

// sample takes a sample.
func (d *runDelays) sample() {
	sample := runDelaySample{waited: map[string]time.Duration{}}
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.pid))
	for _, path := range paths {
		raw, _ := os.ReadFile(path)
		var running, waited int64
		if _, err := fmt.Sscan(string(raw), &running, &waited); err == nil {
			sample.waited[filepath.Dir(path)] = time.Duration(waited)
		}
	}
	sample.at = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, sample)
}

// during returns the longest time that one thread waited between the samples that stand closest within a span of time. It
// never exceeds the real delay of that thread.
func (d *runDelays) during(s span) (longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, last := -1, -1
	for i := len(d.samples) - 1; i >= 0 && !d.samples[i].at.Before(s.from); i-- {
		if d.samples[i].at.After(s.to) {
			continue
		}
		first = i
		if last < 0 {
			last = i
		}
	}
	if first < 0 {
		return 0
	}
	for thread, waited := range d.samples[last].waited {
		longest = max(longest, waited-d.samples[first].waited[thread])
	}
	return longest
}
