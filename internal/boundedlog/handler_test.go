package boundedlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a log that grows with what peers send, as while discovery refuses each call at once.
func TestLinesOfEachKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	handler := New(slog.NewTextHandler(&out, nil))
	start := time.Now()
	write := func(at time.Time, kind string) {
		if err := handler.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, kind, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 * maxLines {
		write(start, "discovery")
	}
	write(start, "status")
	if n := strings.Count(out.String(), "msg=discovery"); n != maxLines || !strings.Contains(out.String(), "msg=status") {
		t.Errorf("%d lines of one kind, want %d, and one of another kind", n, maxLines)
	}
	write(start.Add(window), "discovery")
	if !strings.Contains(out.String(), "dropped_lines=1080") {
		t.Errorf("the log ends with %q, want the number of dropped lines", out.String()[out.Len()-100:])
	}
}
