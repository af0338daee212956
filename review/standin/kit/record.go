// Package kit holds the stand-ins of the review: clients, pick servers and discovery as the owner's pages describe
// them, and the start and stop of real sidecar processes. Everything runs on loopback addresses and the real clock.
package kit

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record.txt of a case: what was sent, answered and run, with the time in ms since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Ms returns the time since the start of the record in ms.
func (r *Record) Ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

// Add writes one line with the present time.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes one line with the time t.
func (r *Record) AddAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.1f %s\n", r.Ms(t), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
