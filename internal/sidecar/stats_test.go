package sidecar

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
)

// The number of log lines for failed attempts is bounded in each status interval, so that the log does not grow with
// the traffic when all attempts fail. The counts still include every attempt.
func TestAttemptLogIsBounded(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
	h := newHarnessWithEndpoints(t, stub.Addr)
	var log bytes.Buffer
	h.runInLoop(func() { h.loop.dispatcher.log = slog.New(slog.NewTextHandler(&log, nil)) })
	for i := range 2 * maxLoggedAttempts {
		h.do(nonIdempotentRequest(fmt.Sprint("t", i)))
	}
	h.runInLoop(func() {
		intervals := 1 + strings.Count(log.String(), "msg=status ")
		if n := strings.Count(log.String(), "msg=attempt"); n == 0 || n > intervals*maxLoggedAttempts {
			t.Errorf("%d attempts logged in %d intervals, want 1 to %d", n, intervals, intervals*maxLoggedAttempts)
		}
		if n := h.loop.dispatcher.stats.Attempts[balance.ServerError]; n != 2*maxLoggedAttempts {
			t.Errorf("%d attempts counted, want %d", n, 2*maxLoggedAttempts)
		}
	})
}

// Guards against status lines that whoever collects logs cuts before the counts that name the cause of an incident.
func TestStatusLinesAreShort(t *testing.T) {
	const maxLength = 300
	h := newHarnessWithEndpoints(t, nettest.ClosedAddress(t))
	const large = 123_456_789
	h.loop.SetServerStats(func() ServerStats {
		return ServerStats{
			Open: 1000, Accepted: large, Rejected: large, AcceptErrors: large, HealthChecks: large, Refused: large,
			InvalidMessages: large, LargeMessages: large, SlowMessages: large, UnstoredMessages: large, Evicted: large,
			Pauses: large, MemoryWaits: large, FarAhead: large, ParseTime: large,
			Busiest: ClientUse{
				Address: "255.255.255.255", Connections: large, Messages: large, Unserved: large, Canceled: large,
				ReceivedBytes: large << 10, SentBytes: large << 10, Work: large,
			},
		}
	})
	var log bytes.Buffer
	h.runInLoop(func() {
		d := h.loop.dispatcher
		d.log = slog.New(slog.NewTextHandler(&log, nil))
		d.stats.Requests = large
		for result := range d.stats.Responses {
			d.stats.Responses[result], d.stats.Attempts[result] = large, large
		}
		d.logStatus()
	})
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) < 10 {
		t.Errorf("%d lines, want one for each kind of count", len(lines))
	}
	for _, line := range lines {
		if len(line) > maxLength {
			t.Errorf("line of %d characters, want at most %d: %s", len(line), maxLength, line)
		}
	}
}
