package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// Guards against a request on an open connection that gets no answer because its last byte comes just before SIGKILL may
// come, which is soon where deadlines are short.
func TestRequestCompletedJustBeforeKillIsAnswered(t *testing.T) {
	const (
		deadline  = 400 * time.Millisecond
		killAfter = deadline + 700*time.Millisecond // the earliest moment by the protocol
		partsAt   = 300 * time.Millisecond          // when the first halves are sent, on new connections
		margin    = 30 * time.Millisecond           // for the answer to the last request
	)
	settings := regexp.MustCompile(`"hard_limit_ms": \d+`).ReplaceAllString(sidecarSettings,
		fmt.Sprintf(`"hard_limit_ms": %d`, deadline.Milliseconds()))
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, 0)
	process := startSidecarWith(t, servers, sidecarOptions{limits: leastLimits, settings: settings})
	process.cmd.Process.Signal(syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(partsAt)
	var clients sync.WaitGroup
	const clientCount = 60
	for i := range clientCount {
		request := "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + newTraceID() +
			"\r\nX-Qos: look\r\nX-Expires-In: 300m\r\n\r\n"
		c := dial(t, process.addr)
		io.WriteString(c, request[:40])
		restAt := partsAt + time.Duration(i+1)*(killAfter-margin-partsAt)/clientCount
		clients.Go(func() {
			time.Sleep(time.Until(terminated.Add(restAt)))
			io.WriteString(c, request[40:])
			c.SetReadDeadline(terminated.Add(killAfter))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("request completed %v after SIGTERM: %v", restAt, err)
			} else if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("request completed %v after SIGTERM: status %d", restAt, resp.StatusCode)
			}
		})
	}
	clients.Wait()
	nettest.Eventually(t, "the process has ended by itself", func() bool { return !process.alive() })
}
