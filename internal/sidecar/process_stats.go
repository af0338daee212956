package sidecar

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/transient"
)

const kiB = 1 << 10

// The runtime's metrics that the status lines tell.
const (
	heapMetric       = "/memory/classes/heap/objects:bytes"
	freeHeapMetric   = "/memory/classes/heap/free:bytes"
	stacksMetric     = "/memory/classes/heap/stacks:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
	collectorMetric  = "/gc/cycles/total:gc-cycles"
)

// logMemoryStatus logs what is held for peers, by part of the budget, and reservations without room.
func (d *dispatcher) logMemoryStatus() {
	usage := d.loop.memory.Usage()
	held := []any{"budget", usage.Capacity / kiB, "peak", usage.Peak / kiB}
	var refused []any
	for part := range budget.PartCount {
		held = append(held, part.String(), usage.Used[part]/kiB)
		refused = append(refused, part.String(), usage.Refused[part])
	}
	d.log.Info("status.memory_kb", held...)
	d.log.Info("status.memory_refused", refused...)
}

// logProcessStatus logs what the process takes from the machine.
func (d *dispatcher) logProcessStatus() {
	samples := []metrics.Sample{
		{Name: heapMetric}, {Name: freeHeapMetric}, {Name: stacksMetric}, {Name: goroutinesMetric}, {Name: collectorMetric},
	}
	metrics.Read(samples)
	number := func(i int) uint64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return samples[i].Value.Uint64()
	}
	d.log.Info("status.process",
		"cpu_ms", processorTime().Milliseconds(),
		"resident_kb", residentBytes()/kiB,
		"heap_kb", number(0)/kiB,
		"free_heap_kb", number(1)/kiB,
		"stacks_kb", number(2)/kiB,
		"goroutines", number(3),
		"collections", number(4),
		"queue", len(d.loop.queue),
		"waited_out_errors", transient.Total())
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of the process, or 0 if the system does not tell it.
func residentBytes() int {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
