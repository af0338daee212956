package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second // for what must come

// TestMain lets the test's own program stand in for petrelhook, in a process that signals can be sent to.
func TestMain(m *testing.M) {
	if os.Getenv("BE_PETRELHOOK") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// discovery reports each connection made to it.
func discovery(t *testing.T) (addr string, calls <-chan net.Conn) {
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

// start runs petrelhook and hands over what it logs.
func start(t *testing.T, config string) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
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
func TestTermination(t *testing.T) {
	addr, _ := discovery(t)
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
		cmd, lines := start(t, path)
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
func TestHangup(t *testing.T) {
	first, firstCalls := discovery(t)
	second, secondCalls := discovery(t)
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
	cmd, lines := start(t, path)
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
