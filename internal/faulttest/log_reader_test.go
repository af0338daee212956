package faulttest

import (
	"bufio"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// pipeLog is a sidecar whose standard error is a pipe of the test.
type pipeLog struct {
	*sidecar
	servers []*pickServer
	app     *application
	reader  *os.File
	writer  *os.File
}

// startPipeLog starts a sidecar with a pick server that fails, so that there is something to log, and its application.
func startPipeLog(t *testing.T) *pipeLog {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, 200)
	servers[0].setFault(serverFails)
	process := startSidecarWith(t, servers, sidecarOptions{limits: leastLimits, standardError: writer})
	app := &application{addr: process.addr, process: process, rate: 60, random: rand.New(rand.NewPCG(1, 0))}
	return &pipeLog{sidecar: process, servers: servers, app: app, reader: reader, writer: writer}
}

// fill fills the pipe, so that the next write of the sidecar finds no room. It ends when the pipe has a reader again.
func (p *pipeLog) fill(t *testing.T) {
	t.Helper()
	written := make(chan struct{}, 1)
	go func() {
		for {
			if _, err := p.writer.WriteString(strings.Repeat("x", 1023) + "\n"); err != nil {
				return
			}
			select {
			case written <- struct{}{}:
			default:
			}
		}
	}()
	for isFull := false; !isFull; {
		select {
		case <-written:
		case <-time.After(50 * time.Millisecond):
			isFull = true
		}
	}
}

// Guards against a process that ends by SIGPIPE, and requests that get no answer, when the reader of its log closes it.
func TestClosedLogDoesNotEndTheProcess(t *testing.T) {
	p := startPipeLog(t)
	p.reader.Close()
	p.writer.Close()
	results := p.app.run(2 * time.Second)
	results.check(t)
	results.checkServed(t)
	p.checkHealthyProcess()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.checkShutdown()
}

// Guards against an event loop that stands still in the write of a log line when the reader of its log stops reading, and
// against a log that does not say afterwards how many lines it lost.
func TestStuckLogReaderDoesNotDelayRequests(t *testing.T) {
	p := startPipeLog(t)
	p.fill(t)
	results := p.app.run(6 * time.Second)
	results.check(t)
	results.checkServed(t)
	p.checkHealthyProcess()
	for _, server := range p.servers {
		server.setFault(serverFails)
	}
	p.app.run(3 * time.Second) // many lines
	lines := make(chan string, 1)
	go func() {
		for in := bufio.NewScanner(p.reader); in.Scan(); {
			if strings.Contains(in.Text(), "lost_lines=") {
				lines <- in.Text()
			}
		}
	}()
	t.Log(nettest.Receive(t, lines))
}

// Guards against a process that does not end after SIGTERM because nobody reads its log any more.
func TestStuckLogReaderDoesNotDelayTheEnd(t *testing.T) {
	p := startPipeLog(t)
	p.fill(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.checkShutdown()
}
