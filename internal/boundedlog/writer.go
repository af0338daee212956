package boundedlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the lines that wait to be written.
	maxQueuedLines = 128
	maxQueuedBytes = 16 << 10
	// maxLineSize is the largest size of a line in bytes, as a peer chooses some of the values in it.
	maxLineSize = 2 << 10
	// cutMark ends a line that was longer than maxLineSize.
	cutMark = "...\n"
)

// Writer writes log lines in the background, so that its callers never wait for the reader of the log. Lines for which
// the queue has no room, or that cannot be written, are lost; the next line that can be written is followed by one that
// says how many. Its methods may be called from any goroutine.
type Writer struct {
	destination io.Writer
	wake        chan struct{} // has a value when there may be lines to write
	closing     chan struct{}
	ended       chan struct{} // closed when the last line is written

	mu     sync.Mutex
	queue  [][]byte
	queued int // bytes in the queue
	lost   int // lines lost since the last line that said how many
	total  int // lines lost since the start
}

// NewWriter returns a Writer to a destination, and begins to write.
func NewWriter(destination io.Writer) *Writer {
	w := &Writer{
		destination: destination,
		wake:        make(chan struct{}, 1),
		closing:     make(chan struct{}),
		ended:       make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line, or loses it if there is no room. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	stored := line
	if len(line) > maxLineSize {
		stored = append(line[:maxLineSize-len(cutMark):maxLineSize-len(cutMark)], cutMark...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedLines || w.queued+len(stored) > maxQueuedBytes {
		w.countLost(1)
		return len(line), nil
	}
	w.queue = append(w.queue, bytes.Clone(stored))
	w.queued += len(stored)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// LostLines returns how many lines were lost since the start.
func (w *Writer) LostLines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close waits until the queued lines are written, but not longer than the timeout. It must be called once. Lines that
// come later may be lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.ended:
	case <-time.After(timeout):
	}
}

// run writes queued lines until the writer is closed and the queue is empty.
func (w *Writer) run() {
	defer close(w.ended)
	for {
		line := w.next()
		if line != nil {
			w.write(line)
			continue
		}
		select {
		case <-w.wake:
		case <-w.closing:
			if w.isEmpty() {
				return
			}
		}
	}
}

// next removes the next line from the queue and returns it, or nil if there is none.
func (w *Writer) next() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.queue = nil
		return nil
	}
	line := w.queue[0]
	w.queue = w.queue[1:]
	w.queued -= len(line)
	return line
}

// isEmpty reports whether no line waits.
func (w *Writer) isEmpty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0
}

// write writes a line, and behind it how many lines were lost before.
func (w *Writer) write(line []byte) {
	if _, err := w.destination.Write(line); err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.countLost(1)
		return
	}
	w.mu.Lock()
	lost := w.lost
	w.lost = 0
	w.mu.Unlock()
	if lost == 0 {
		return
	}
	report := fmt.Sprintf("time=%s level=WARN msg=log lost_lines=%d\n", time.Now().Format(time.RFC3339Nano), lost)
	if _, err := io.WriteString(w.destination, report); err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lost += lost
	}
}

// countLost counts lost lines. The caller holds mu.
func (w *Writer) countLost(lines int) {
	w.lost += lines
	w.total += lines
}
