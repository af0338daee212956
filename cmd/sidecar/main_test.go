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

const patience = 20 * time.Second // for what must come

// TestMain lets the test's own program stand in for the sidecar, in a process that signals can be sent to.
func TestMain(m *testing.M) {
	if os.Getenv("BE_PETRELHOOK") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// discovery reports each connection made to it.
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

// start runs the sidecar and hands over what it logs.
func startSidecar(t *testing.T, config string) (*exec.Cmd, <-chan string) {
	t.Helper()
	return startCommand(t, exec.Command(os.Args[0]), config)
}

func startCommand(t *testing.T, cmd *exec.Cmd, config string) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd.Env = append(os.Environ(), "BE_PETRELHOOK=1", "LB_CONFIG="+config)
	out, err := cmd.StderrPipe()
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
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
	}()
	return cmd, lines
}

// SIGTERM is a clean end before any server is known, twice, and with SIGHUP before and after it.
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
		for line := range lines {
			if strings.Contains(line, "serving") {
				break
			}
		}
		for _, s := range signals {
			if err := cmd.Process.Signal(s); err != nil {
				t.Errorf("%v: %v", signals, err)
			}
		}
		for range lines {
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: ended with %v", signals, err)
		}
	}
}

// At SIGHUP the sidecar goes on with the discovery that the configuration names now; one that cannot be read changes
// nothing. SIGTERM still ends it cleanly.
func TestSIGHUP(t *testing.T) {
	first, firstCalls := startDiscovery(t)
	second, secondCalls := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "discovery": %q, "seed": "1", "settings":
			{"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 1000}], "discovery": "subscribe"}}`, discovery)
	}
	write(config(first))
	cmd, lines := startSidecar(t, path)
	wait := func(calls <-chan net.Conn) net.Conn {
		t.Helper()
		select {
		case c := <-calls:
			return c
		case <-time.After(patience):
			t.Fatal("discovery is not called")
			return nil
		}
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	old := wait(firstCalls)
	write("{")
	signal(syscall.SIGHUP)
	for line := range lines { // it is told
		if strings.Contains(line, "not taken") {
			break
		}
	}
	write(config(second))
	signal(syscall.SIGHUP)
	wait(secondCalls)
	old.SetReadDeadline(time.Now().Add(patience))
	for buf := make([]byte, 4096); ; { // the old watch is given up
		if _, err := old.Read(buf); err != nil {
			if os.IsTimeout(err) {
				t.Error("the old watch stays")
			}
			break
		}
	}
	signal(syscall.SIGTERM)
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// While discovery is away, clients that send nothing fill all descriptors that there are for clients, and come again as
// soon as they are turned away or closed. Discovery can still be called when it is back, servers be connected to, and
// health and requests be served.
func TestIdleClientsFillDescriptors(t *testing.T) {
	away, err := net.Listen("tcp", "127.0.0.2:0") // where no client of this test gets its own port
	if err != nil {
		t.Fatal(err)
	}
	away.Close()
	front, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	front.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "1", "limits": {"sockets": 256}, "settings":
		{"classes": [{"name": "read", "effect": "read_like", "hard_limit_ms": 15000}], "discovery": "subscribe"}}`, front.Addr(), away.Addr())
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	_, lines := startCommand(t, exec.Command("sh", "-c", `ulimit -n 256 && exec "$0"`, os.Args[0]), path)
	if line := <-lines; !strings.Contains(line, "serving") {
		t.Fatal(line)
	}
	client, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(client)
	ask := func(request string) (int, string) {
		t.Helper()
		fmt.Fprint(client, request)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	ask(health)
	var came, turnedAway atomic.Int32
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for range 300 {
		crowd.Go(func() {
			for range 200 {
				if c, err := net.Dial("tcp", front.Addr().String()); err == nil {
					came.Add(1)
					c.SetReadDeadline(time.Now().Add(patience))
					if n, _ := c.Read(make([]byte, 100)); n > 0 {
						turnedAway.Add(1)
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
	defer crowd.Wait()
	defer close(stop)
	for turnedAway.Load() < 300 { // all places are taken
		if code, _ := ask(health); code != http.StatusOK && code != http.StatusServiceUnavailable {
			t.Fatalf("health: %d", code)
		}
	}
	server, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hi") }))
	defer server.Close()
	back, err := net.Listen("tcp", away.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	go http.Serve(back, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"zone":"a","machineType":"m",
			"cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}`+"\n", server.Addr())
	}))
	code, body := ask("GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: read\r\nX-Expires-In: 15000m\r\n\r\n")
	if code != http.StatusOK || body != "hi" {
		t.Errorf("status %d, %q", code, body)
	}
	if code, _ := ask(health); code != http.StatusOK {
		t.Errorf("health: %d", code)
	}
}
