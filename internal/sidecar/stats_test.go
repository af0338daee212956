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
		intervals := 1 + strings.Count(log.String(), "msg=status")
		if n := strings.Count(log.String(), "msg=attempt"); n == 0 || n > intervals*maxLoggedAttempts {
			t.Errorf("%d attempts logged in %d intervals, want 1 to %d", n, intervals, intervals*maxLoggedAttempts)
		}
		if n := h.loop.dispatcher.stats.Attempts[balance.ServerError]; n != 2*maxLoggedAttempts {
			t.Errorf("%d attempts counted, want %d", n, 2*maxLoggedAttempts)
		}
	})
}
