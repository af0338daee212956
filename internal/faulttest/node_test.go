package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// node is a place for one sidecar process after the other, which have the same addresses and the same application.
type node struct {
	t       *testing.T
	servers []*pickServer
	options sidecarOptions
	log     *nodeLog

	mu        sync.Mutex
	processes []*sidecar
	outages   []span // from a kill until the next process is ready; an open outage has no end
}

// nodeLog is the pipe that a node's processes log to, and its reader.
type nodeLog struct {
	reader, writer *os.File
	paused         chan struct{} // closed when the reader stops reading
	pause          sync.Once

	mu   sync.Mutex
	last []string // the last lines
}

// keptLines is how many of the last log lines of a node are kept.
const keptLines = 40

// newNodeLog returns a pipe that is read until it is stopped or closed.
func newNodeLog(t *testing.T) *nodeLog {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	l := &nodeLog{reader: reader, writer: writer, paused: make(chan struct{})}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	go l.read()
	return l
}

// read keeps the last lines until the log is paused or closed.
func (l *nodeLog) read() {
	for in := bufio.NewScanner(l.reader); in.Scan(); {
		l.mu.Lock()
		l.last = append(l.last, in.Text())
		l.last = l.last[max(0, len(l.last)-keptLines):]
		l.mu.Unlock()
		select {
		case <-l.paused:
			return
		default:
		}
	}
}

// stop ends the reading and fills the pipe, so that a process finds no room.
func (l *nodeLog) stop() {
	l.pause.Do(func() {
		close(l.paused)
		go io.Copy(l.writer, endlessReader{})
	})
}

// close closes the reading end of the pipe.
func (l *nodeLog) close() { l.reader.Close() }

// text returns the last lines.
func (l *nodeLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.last, "\n")
}

// endlessReader returns empty log lines without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
}

// startNodes starts nodes that gossip with each other and waits until they are ready.
func startNodes(t *testing.T, count int, servers []*pickServer, l limits) []*node {
	t.Helper()
	discovery := startDiscovery(t, catalogOf(servers))
	var gossip []string
	for range count {
		gossip = append(gossip, fmt.Sprintf("%q", freeAddress(t)))
	}
	var nodes []*node
	for i := range count {
		n := &node{t: t, servers: servers, log: newNodeLog(t)}
		settings := strings.Replace(sidecarSettings, `"cancel": true`, `"cancel": true, "may_tell": true`, 1)
		settings = fmt.Sprintf(`{"my_number": %d, "peers_total": %d, %s`, i, count, strings.TrimPrefix(settings, "{"))
		n.options = sidecarOptions{
			limits: l, settings: settings, addr: freeAddress(t), standardError: n.log.writer, discovery: discovery,
			gossip: fmt.Sprintf(`"peer_listen": %s, "peers": [%s],`, gossip[i], strings.Join(gossip, ", ")),
		}
		n.start()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		nettest.Eventually(t, "the node is ready", n.current().healthy)
	}
	return nodes
}

// start starts a process.
func (n *node) start() {
	n.t.Helper()
	process := newSidecar(n.t, n.servers, n.options)
	process.start()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes = append(n.processes, process)
}

// current returns the last process that was started.
func (n *node) current() *sidecar {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[len(n.processes)-1]
}

// restart kills the process, starts another one after a while and waits until it is ready.
func (n *node) restart(after time.Duration) {
	n.mu.Lock()
	n.outages = append(n.outages, span{from: time.Now()})
	n.mu.Unlock()
	n.current().kill()
	time.Sleep(after)
	n.start()
	for deadline := time.Now().Add(readyTimeout); !n.current().healthy(); time.Sleep(time.Millisecond) {
		if !n.current().alive() || time.Now().After(deadline) {
			n.t.Errorf("the process is not ready after a restart; alive: %v", n.current().alive())
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outages[len(n.outages)-1].to = time.Now()
}

// readyTimeout is the time within which a restarted process has to be ready.
const readyTimeout = 10 * time.Second

// stalled implements observedProcess.
func (n *node) stalled(during span) (total time.Duration) {
	n.mu.Lock()
	processes := n.processes
	n.mu.Unlock()
	for _, process := range processes {
		total += process.stalled(during)
	}
	return total
}

// interrupted implements observedProcess.
func (n *node) interrupted(during span) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, outage := range n.outages {
		if outage.from.Before(during.to) && (outage.to.IsZero() || outage.to.After(during.from)) {
			return true
		}
	}
	return false
}

// signalSeries sends a signal so many times.
func (n *node) signalSeries(signal syscall.Signal, times int, pause time.Duration) {
	for range times {
		n.current().cmd.Process.Signal(signal)
		time.Sleep(pause)
	}
}

// stopSeries stops the process so many times and lets it go on after a while.
func (n *node) stopSeries(times int, stopped, pause time.Duration) {
	for range times {
		process := n.current()
		from := time.Now()
		process.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(stopped)
		process.cmd.Process.Signal(syscall.SIGCONT)
		process.addStall(span{from: from, to: time.Now()})
		time.Sleep(pause)
	}
}

// check checks that no process has ended by itself and that each has stayed within its memory.
func (n *node) check(t *testing.T) {
	t.Helper()
	n.mu.Lock()
	processes := n.processes
	n.mu.Unlock()
	for i, process := range processes {
		if !process.alive() && !process.killed.Load() {
			t.Errorf("process %d ended by itself: %v; its log ends:\n%s", i, process.cmd.ProcessState, n.log.text())
		}
		if peak, limit := process.peakMemory(), process.limits.memoryMB<<10; peak > limit {
			t.Errorf("process %d: peak memory %d kB of %d kB", i, peak, limit)
		}
		process.checkSocketMemory()
	}
}
