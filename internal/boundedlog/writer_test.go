package boundedlog

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckDestination is a destination whose reader does not read until it is released.
type stuckDestination struct {
	released chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
	fails   bool
}

func (d *stuckDestination) Write(p []byte) (int, error) {
	<-d.released
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails {
		return 0, errors.New("no reader")
	}
	return d.written.Write(p)
}

func (d *stuckDestination) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written.String()
}

// Guards against a program that waits for the reader of its log, a queue that grows meanwhile, and lost lines that nobody
// hears of.
func TestStuckDestinationLosesLinesAndSaysHowMany(t *testing.T) {
	destination := &stuckDestination{released: make(chan struct{})}
	w := NewWriter(destination)
	line := []byte(strings.Repeat("x", 200) + "\n")
	const lines = 2000
	for range lines {
		w.Write(line)
	}
	lost := w.LostLines()
	w.mu.Lock()
	queued := w.queued
	w.mu.Unlock()
	if lost < lines-maxQueuedLines-1 || queued > maxQueuedBytes {
		t.Errorf("%d of %d lines lost, %d bytes queued; want all but %d lines lost", lost, lines, queued, maxQueuedLines)
	}
	close(destination.released)
	w.Close(time.Minute)
	text := destination.text()
	if !strings.Contains(text, "lost_lines=") || strings.Count(text, string(line)) != lines-lost {
		t.Errorf("%d lines written, want %d and one with lost_lines", strings.Count(text, string(line)), lines-lost)
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestCloseDoesNotWaitForStuckDestination(t *testing.T) {
	destination := &stuckDestination{released: make(chan struct{})}
	w := NewWriter(destination)
	w.Write([]byte("line\n"))
	w.Close(time.Millisecond)
	close(destination.released)
}

// Guards against a line whose size a peer chooses, and counts lines that cannot be written.
func TestLongLinesAreCutAndFailedLinesCounted(t *testing.T) {
	destination := &stuckDestination{released: make(chan struct{})}
	close(destination.released)
	w := NewWriter(destination)
	long := []byte(strings.Repeat("y", 100_000) + "\n")
	w.Write(long)
	w.Close(time.Minute)
	if text := destination.text(); len(text) > maxLineSize || !strings.HasSuffix(text, "y"+cutMark) {
		t.Errorf("%d bytes written, want %d with the mark of a cut line", len(text), maxLineSize)
	}
	failing := &stuckDestination{released: destination.released, fails: true}
	w = NewWriter(failing)
	w.Write([]byte("line\n"))
	w.Close(time.Minute)
	if lost := w.LostLines(); lost != 1 {
		t.Errorf("%d lines lost, want 1", lost)
	}
}
