// Package kit holds the stand-ins of the review's cases: clients, pick servers, discovery and the start of a sidecar.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case could not run
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Ms returns the time since the start of the record in ms.
func (r *Record) Ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

// Logf writes one line with the present time.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%10.1f ms  ", r.Ms(time.Now())) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}
