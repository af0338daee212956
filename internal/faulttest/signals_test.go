package faulttest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// Guards against a process that ends by a signal which arrives while it starts, before it handles signals.
func TestSignalsDuringStartDoNotEndTheProcess(t *testing.T) {
	servers, _ := startPickServers(t, 1, pickServiceTime, 0)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGPIPE} {
		t.Run(fmt.Sprint(signal), func(t *testing.T) {
			t.Parallel()
			for i := range 40 {
				process := newSidecar(t, servers, sidecarOptions{limits: leastLimits})
				process.start()
				process.awaitExec()
				time.Sleep(time.Duration(i) * 50 * time.Microsecond) // the moment of the signal varies
				process.cmd.Process.Signal(signal)
				nettest.Eventually(t, "the sidecar is ready", func() bool { return process.healthy() || !process.alive() })
				if !process.alive() {
					t.Fatalf("signal %d us after the exec: the process ended with %v", i*50, process.cmd.ProcessState)
				}
				process.kill()
			}
		})
	}
}

// awaitExec waits until the shell that starts the process has replaced itself by the sidecar.
func (s *sidecar) awaitExec() {
	for {
		program, _ := os.Readlink(fmt.Sprintf("/proc/%d/exe", s.cmd.Process.Pid))
		if program == sidecarBinary || !s.alive() {
			return
		}
	}
}

// Guards against a process that ends by a signal that says nothing to it.
func TestSignalsDoNotEndTheProcess(t *testing.T) {
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, 0)
	process := startSidecar(t, servers, leastLimits)
	for _, signal := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF,
		syscall.SIGPIPE, syscall.SIGWINCH, syscall.SIGURG, syscall.SIGIO, syscall.SIGPWR, syscall.SIGCHLD, syscall.SIGCONT,
		syscall.SIGXFSZ, syscall.SIGXCPU, syscall.SIGTTIN, syscall.SIGTTOU, syscall.Signal(34), syscall.Signal(64),
	} {
		process.cmd.Process.Signal(signal)
		time.Sleep(20 * time.Millisecond) // a signal that ends the process does so at once
		if !process.alive() || !process.healthy() {
			t.Fatalf("signal %d: process alive: %v", signal, process.alive())
		}
	}
}

// Guards against a log file that may not grow further and then ends the process (SIGXFSZ).
func TestFullLogFileDoesNotEndTheProcess(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, 0)
	servers[0].setFault(serverFails)
	process := newSidecar(t, servers, sidecarOptions{limits: leastLimits, standardError: log})
	process.cmd.Args[2] = "ulimit -f 1 && " + process.cmd.Args[2]
	process.start()
	nettest.Eventually(t, "the sidecar is ready", process.healthy)
	app := &application{addr: process.addr, process: process, rate: 60, random: rand.New(rand.NewPCG(1, 0))}
	results := app.run(3 * time.Second)
	results.check(t)
	results.checkServed(t)
	process.checkHealthyProcess()
}

// Guards against descriptors and memory that run out while SIGHUP comes in series and discovery does not respond.
func TestHangupsInSeriesDoNotExhaustDescriptors(t *testing.T) {
	silent := nettest.NewStubServer(t, nettest.NeverRespond)
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, 0)
	process := startSidecarWith(t, servers,
		sidecarOptions{limits: limits{cores: 1, memoryMB: 32, sockets: 256}, discovery: silent.Addr})
	app := &application{addr: process.addr, process: process, rate: 60, random: rand.New(rand.NewPCG(1, 0))}
	stop := make(chan struct{})
	go func() {
		for ticker := time.NewTicker(2 * time.Millisecond); ; {
			select {
			case <-stop:
				return
			case <-ticker.C:
				process.cmd.Process.Signal(syscall.SIGHUP)
			}
		}
	}()
	counted := make(chan int, 1)
	time.AfterFunc(2500*time.Millisecond, func() { counted <- process.connectionsTo(silent.Addr) })
	results := app.run(3 * time.Second)
	close(stop)
	results.check(t)
	results.checkServed(t)
	process.checkHealthyProcess()
	const reserved = 48 // descriptors that are kept for all but clients and pick servers
	open := nettest.Receive(t, counted)
	t.Logf("%d connections to discovery", open)
	if open > reserved/2 {
		t.Errorf("%d connections to discovery, want at most %d", open, reserved/2)
	}
}

// connectionsTo returns how many connections to an address of the loopback interface this machine has established.
func (s *sidecar) connectionsTo(addr string) int {
	var host [4]byte
	var port int
	fmt.Sscanf(addr, "%d.%d.%d.%d:%d", &host[0], &host[1], &host[2], &host[3], &port)
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X 01 ", host[3], host[2], host[1], host[0], port)
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", s.cmd.Process.Pid))
	return strings.Count(string(raw), " "+remote)
}
