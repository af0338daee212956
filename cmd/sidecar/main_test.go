package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// timeout is how long a test waits for an event before it fails.
	timeout = 20 * time.Second
	// runAsSidecar names the environment variable that makes the test binary run as the sidecar.
	runAsSidecar = "RUN_AS_SIDECAR"
)

// TestMain runs the test binary as the sidecar if it was started by startCommand. Tests can send signals to such a
// process.
func TestMain(m *testing.M) {
	if os.Getenv(runAsSidecar) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startDiscovery starts a discovery service that never responds. It sends each accepted connection to calls.
func startDiscovery(t *testing.T) (addr string, calls <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return ln.Addr().String(), conns
}

// startSidecar starts a sidecar process and returns the lines that the process logs.
func startSidecar(t *testing.T, configPath string) (*exec.Cmd, <-chan string) {
	t.Helper()
	return startCommand(t, exec.Command(os.Args[0]), configPath)
}

// startCommand starts a sidecar process with the given command and returns the lines that the process logs.
func startCommand(t *testing.T, cmd *exec.Cmd, configPath string) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd.Env = append(os.Environ(), runAsSidecar+"=1", "LB_CONFIG="+configPath)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return cmd, lines
}

// waitForLog reads log lines up to one that contains the text, or to the end of the log.
func waitForLog(lines <-chan string, text string) {
	for line := range lines {
		if strings.Contains(line, text) {
			return
		}
	}
}

// waitForEnd reads the remaining log lines and returns the exit status of the process.
func waitForEnd(cmd *exec.Cmd, lines <-chan string) error {
	for range lines {
	}
	return cmd.Wait()
}

// SIGTERM ends the sidecar with exit status 0 while no endpoint is known, even if SIGTERM is sent twice or SIGHUP is
// sent before and after it.
func TestSIGTERM(t *testing.T) {
	addr, _ := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "discovery": %q, "seed": "1", "settings":
		{"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 1000}]}}`, addr)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		cmd, lines := startSidecar(t, path)
		waitForLog(lines, "serving")
		for _, s := range signals {
			if err := cmd.Process.Signal(s); err != nil {
				t.Errorf("signals %v: %v", signals, err)
			}
		}
		if err := waitForEnd(cmd, lines); err != nil {
			t.Errorf("signals %v: the sidecar ended with %v", signals, err)
		}
	}
}

// At SIGHUP the sidecar switches to the discovery address in its configuration file. A file that cannot be read changes
// nothing. SIGTERM still ends the sidecar cleanly afterwards.
func TestSIGHUP(t *testing.T) {
	firstAddr, firstCalls := startDiscovery(t)
	secondAddr, secondCalls := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "discovery": %q, "seed": "1", "settings":
			{"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 1000}], "discovery": "subscribe"}}`,
			discovery)
	}
	writeConfig(config(firstAddr))
	cmd, lines := startSidecar(t, path)
	waitForCall := func(calls <-chan net.Conn) net.Conn {
		t.Helper()
		select {
		case c := <-calls:
			return c
		case <-time.After(timeout):
			t.Fatal("timed out waiting for a call to discovery")
			return nil
		}
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	firstWatch := waitForCall(firstCalls)
	writeConfig("{")
	signal(syscall.SIGHUP)
	waitForLog(lines, "configuration could not be read after SIGHUP")
	writeConfig(config(secondAddr))
	signal(syscall.SIGHUP)
	waitForCall(secondCalls)
	firstWatch.SetReadDeadline(time.Now().Add(timeout))
	for buf := make([]byte, 4096); ; {
		if _, err := firstWatch.Read(buf); err != nil {
			if os.IsTimeout(err) {
				t.Error("the first watch was not closed")
			}
			break
		}
	}
	signal(syscall.SIGTERM)
	if err := waitForEnd(cmd, lines); err != nil {
		t.Errorf("the sidecar ended with %v", err)
	}
}

// While discovery is down, idle clients use up all file descriptors that the sidecar has for clients, and reconnect as
// soon as their connections are rejected or closed. The sidecar can still answer health checks, call discovery when it
// is up again, connect to endpoints and serve requests.
func TestIdleClientsFillDescriptors(t *testing.T) {
	// The test needs two free addresses. Its clients connect from another address, so they do not take these
	// ports.
	discoveryPort, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	discoveryPort.Close()
	discoveryAddr := discoveryPort.Addr().String()
	sidecarPort, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	sidecarPort.Close()
	listenAddr := sidecarPort.Addr().String()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "1", "limits": {"sockets": 256},
		"settings": {"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 15000}],
			"discovery": "subscribe"}}`, listenAddr, discoveryAddr)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	_, lines := startCommand(t, exec.Command("sh", "-c", `ulimit -n 256 && exec "$0"`, os.Args[0]), path)
	if line := <-lines; !strings.Contains(line, "serving") {
		t.Fatalf("first log line %q, want one that says serving", line)
	}
	client, err := net.Dial("tcp", listenAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(timeout))
	reader := bufio.NewReader(client)
	roundTrip := func(request string) (status int, body string) {
		t.Helper()
		fmt.Fprint(client, request)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	roundTrip(health)

	var rejected atomic.Int32
	stop := make(chan struct{})
	var idleClients sync.WaitGroup
	for range 300 {
		idleClients.Go(func() {
			for range 200 {
				if c, err := net.Dial("tcp", listenAddr); err == nil {
					c.SetReadDeadline(time.Now().Add(timeout))
					if n, _ := c.Read(make([]byte, 100)); n > 0 {
						rejected.Add(1)
					}
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	defer idleClients.Wait()
	defer close(stop)
	for rejected.Load() < 300 { // until the sidecar rejects clients because all descriptors for them are in use
		status, _ := roundTrip(health)
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("health: status %d, want %d or %d", status, http.StatusOK, http.StatusServiceUnavailable)
		}
	}

	endpoint, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(endpoint, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "hi")
	}))
	defer endpoint.Close()
	discovery, err := net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"zone":"a",
			"machineType":"m","cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}`+"\n", endpoint.Addr())
	}))
	status, body := roundTrip(
		"GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: read\r\nX-Expires-In: 15000m\r\n\r\n")
	if status != http.StatusOK || body != "hi" {
		t.Errorf("request: status %d, body %q, want %d and hi", status, body, http.StatusOK)
	}
	if status, _ := roundTrip(health); status != http.StatusOK {
		t.Errorf("health: status %d, want %d", status, http.StatusOK)
	}
}

// Guards against a sidecar that refuses to start because its address is in use for a while, as by a process that is just
// ending.
func TestStartWaitsForAddress(t *testing.T) {
	for _, held := range []time.Duration{300 * time.Millisecond, 4 * time.Second} {
		t.Run(held.String(), func(t *testing.T) {
			t.Parallel()
			checkStartWaitsForAddress(t, held)
		})
	}
}

// checkStartWaitsForAddress checks that a sidecar starts although its address is in use for some time.
func checkStartWaitsForAddress(t *testing.T, held time.Duration) {
	t.Helper()
	discovery, _ := startDiscovery(t)
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "1", "settings":
		{"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 1000}]}}`, holder.Addr(), discovery)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(held, func() { holder.Close() })
	_, lines := startSidecar(t, path)
	if line := <-lines; !strings.Contains(line, "msg=serving") {
		t.Errorf("first log line %q, want one that says serving", line)
	}
}
