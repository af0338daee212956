// Package boundedlog limits how many log lines of each kind are written, so that nobody can make the log grow with what
// he sends. The kind of a line is its message, which is a constant of the program.
package boundedlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// window is the time in which at most maxLines lines of each kind are written.
	window   = 5 * time.Second
	maxLines = 120
)

// Handler passes log lines to another handler, at most maxLines of each kind in a window. The first line of a kind
// after others were dropped says how many.
type Handler struct {
	slog.Handler
	shared *counts
}

// counts holds the counts that a Handler shares with those derived from it.
type counts struct {
	mu    sync.Mutex
	kinds map[string]*count
}

// count counts the lines of one kind.
type count struct {
	begin   time.Time // of the present window
	lines   int       // in the present window
	dropped int       // since the last line that was written
}

// New returns a Handler in front of another one.
func New(next slog.Handler) *Handler {
	return &Handler{Handler: next, shared: &counts{kinds: map[string]*count{}}}
}

// Handle writes or drops a line.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	dropped, ok := h.shared.admit(record.Message, record.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int("dropped_lines", dropped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs and WithGroup implement slog.Handler.

func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

// admit reports whether a line of a kind may be written, and how many were dropped before it.
func (c *counts) admit(kind string, now time.Time) (dropped int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		k = &count{begin: now}
		c.kinds[kind] = k
	}
	if now.Sub(k.begin) >= window {
		k.begin, k.lines = now, 0
	}
	if k.lines++; k.lines > maxLines {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}
