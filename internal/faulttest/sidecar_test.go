package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// answerSlack is how long after its deadline a client still takes an answer, as the settings below say.
const answerSlack = 20 * time.Millisecond

// sidecarSettings is a settings object with one class for each kind of idempotency.
const sidecarSettings = `{"classes": [
	{"name": "look", "effect": "read_like", "group": "all", "on_time_ms": 400, "hard_limit_ms": 2000},
	{"name": "book", "effect": "idempotency_key", "group": "zone", "window_ms": 1200,
		"on_time_ms": 750, "hard_limit_ms": 2000},
	{"name": "once", "effect": "non_idempotent", "group": "all", "on_time_ms": 750, "hard_limit_ms": 2500}],
	"tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b", "c"], "kinds": ["m1", "m2"],
	"discovery": "subscribe", "weights": "nominal", "clients": {"marks_retry": true},
	"limits": {"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 100, "max_attempts": 6, "probes": true,
		"retry_after": true, "max_retry_after_ms": 1200},
	"rules": {"answer_slack_ms": 20, "ask_within_ms": 10000, "drain_grace_ms": 1500,
		"cold_from": 0.12, "cold_ms": 23000, "fall_ms": 2000, "fall_multiple": 2.5}}`

// limits are the resource limits of a sidecar process.
type limits struct {
	cores    float64
	memoryMB int
	sockets  int
}

// leastLimits are the smallest memory and the most descriptors that the platform gives a sidecar.
var leastLimits = limits{cores: 1, memoryMB: 32, sockets: 1024}

// sidecar is a real sidecar process between stand-ins.
type sidecar struct {
	t      *testing.T
	addr   string
	limits limits
	cmd    *exec.Cmd
	log    bytes.Buffer  // what the process has written, unless its standard error is given
	ended  chan struct{} // closed when the process has ended
	killed atomic.Bool   // whether the rig has killed the process

	delays    *runDelays // of the process
	ownDelays *runDelays // of this process, which the clients run in

	mu         sync.Mutex
	peakKB     int          // the largest resident memory seen
	withSocket memoryAtPeak // the largest resident memory together with the buffers of sockets
	stalls     []span       // when throttle held the process up for longer than its share of a core says
}

// span is a span of time.
type span struct{ from, to time.Time }

// sidecarOptions say how a sidecar process is started.
type sidecarOptions struct {
	limits        limits
	settings      string   // the settings object; sidecarSettings if empty
	addr          string   // address for clients; a free one if empty
	gossip        string   // members of the configuration file for gossip, with a comma at the end; may be empty
	standardError *os.File // nil to collect it in sidecar.log
	discovery     string   // address of discovery; a stand-in of its own if empty
}

// startSidecar starts a sidecar with the given pick servers and limits and waits until it is ready.
func startSidecar(t *testing.T, servers []*pickServer, l limits) *sidecar {
	t.Helper()
	return startSidecarWith(t, servers, sidecarOptions{limits: l})
}

// startSidecarWith starts a sidecar with the given pick servers and options and waits until it is ready.
func startSidecarWith(t *testing.T, servers []*pickServer, options sidecarOptions) *sidecar {
	t.Helper()
	s := newSidecar(t, servers, options)
	s.start()
	nettest.Eventually(t, "the sidecar is ready", s.healthy)
	return s
}

// newSidecar returns a sidecar process that is not started yet.
func newSidecar(t *testing.T, servers []*pickServer, options sidecarOptions) *sidecar {
	t.Helper()
	catalog := catalogOf(servers)
	if options.discovery == "" {
		options.discovery = startDiscovery(t, catalog)
	}
	if options.settings == "" {
		options.settings = sidecarSettings
	}
	if options.addr == "" {
		options.addr = freeAddress(t)
	}
	l := options.limits
	s := &sidecar{t: t, addr: options.addr, limits: l, ended: make(chan struct{})}
	config := fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964", %s
		"limits": {"cores": %g, "memory_mb": %d, "sockets": %d}, "known": %s, "settings": %s}`,
		s.addr, options.discovery, options.gossip, l.cores, l.memoryMB, l.sockets, catalog, options.settings)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && %s", l.sockets, runCommand(t)), sidecarBinary)
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	s.cmd.Stderr = &s.log
	if options.standardError != nil {
		s.cmd.Stderr = options.standardError
	}
	return s
}

// runCommand returns the command of deploy/balancer.toml that starts a sidecar, with the binary as its first argument.
func runCommand(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if match == nil || !strings.Contains(string(match[1]), "bin/sidecar") {
		t.Fatal("deploy/balancer.toml has no command that runs bin/sidecar")
	}
	return strings.Replace(string(match[1]), "bin/sidecar", `"$0"`, 1)
}

// catalogOf returns the endpoint list with the given pick servers.
func catalogOf(servers []*pickServer) string {
	var instances []string
	for i, s := range servers {
		instances = append(instances, nettest.InstanceJSON(fmt.Sprintf("s-%d", i), s.addr, "up"))
	}
	return nettest.CatalogJSON(40, true, instances...)
}

// The ports of sidecars lie below those that the system gives to outgoing connections, one of which could otherwise take
// the address of a sidecar that is restarted.
const (
	firstPort = 20_000
	portCount = 10_000
)

// freeAddress returns an address of the loopback interface that nobody uses for TCP or UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		listener.Close()
		if socket, err := net.ListenPacket("udp", addr); err == nil {
			socket.Close()
			return addr
		}
	}
	t.Fatal("no free address found")
	return ""
}

// start starts the process. It is killed at the end of the test.
func (s *sidecar) start() {
	s.t.Helper()
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		s.cmd.Wait()
		close(s.ended)
	}()
	s.delays, s.ownDelays = &runDelays{pid: s.cmd.Process.Pid}, &runDelays{pid: os.Getpid()}
	go s.watch()
	go s.watchSocketMemory()
	if s.limits.cores < 1 {
		go s.throttle(s.limits.cores)
	}
	s.t.Cleanup(func() {
		s.kill()
		if s.t.Failed() {
			s.t.Logf("log of the sidecar, its end:\n%s", tail(s.log.String(), 4000))
		}
	})
}

// kill ends the process with SIGKILL and waits for its end.
func (s *sidecar) kill() {
	s.killed.Store(true)
	s.cmd.Process.Kill()
	<-s.ended
}

// healthy reports whether the sidecar's health endpoint answers 200.
func (s *sidecar) healthy() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.addr + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// alive reports whether the process runs.
func (s *sidecar) alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

var (
	residentPeak = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	residentNow  = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
)

// residentMemory returns the resident memory of the process in kB, or 0 if it has ended.
func (s *sidecar) residentMemory() int { return s.readStatus(residentNow) }

// readStatus returns a number of the process's status, or 0 if the process has ended.
func (s *sidecar) readStatus(field *regexp.Regexp) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	match := field.FindSubmatch(raw)
	if match == nil {
		return 0
	}
	number, _ := strconv.Atoi(string(match[1]))
	return number
}

// watch follows the largest resident memory of the process and kills the process above its limit, as the platform does.
// It also follows for how long the machine keeps the process waiting.
func (s *sidecar) watch() {
	for ticker := time.NewTicker(10 * time.Millisecond); s.alive(); <-ticker.C {
		s.delays.sample()
		s.ownDelays.sample()
		kB := s.readStatus(residentPeak)
		s.mu.Lock()
		s.peakKB = max(s.peakKB, kB)
		s.mu.Unlock()
		if kB > s.limits.memoryMB<<10 {
			s.cmd.Process.Kill()
		}
	}
}

// peakMemory returns the largest resident memory seen, in kB.
func (s *sidecar) peakMemory() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakKB
}

// throttle lets the process run only for a fraction of the time, as on a shared core.
func (s *sidecar) throttle(fraction float64) {
	const period = 10 * time.Millisecond
	run := time.Duration(fraction * float64(period))
	for s.alive() {
		time.Sleep(run)
		s.cmd.Process.Signal(syscall.SIGSTOP)
		due := time.Now().Add(period - run)
		time.Sleep(period - run)
		s.cmd.Process.Signal(syscall.SIGCONT)
		if now := time.Now(); now.Sub(due) > period {
			s.addStall(span{from: due, to: now})
		}
	}
}

// stalled returns for how long of a span of time the process, or its clients in this process, were held up because the
// machine was busy: throttle stopped the process for too long, or their threads waited for a processor.
func (s *sidecar) stalled(during span) (total time.Duration) {
	total = s.delays.during(during) + s.ownDelays.during(during)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.stalls {
		from, to := stall.from, stall.to
		if from.Before(during.from) {
			from = during.from
		}
		if to.After(during.to) {
			to = during.to
		}
		total += max(0, to.Sub(from))
	}
	return total
}

// interrupted implements observedProcess. The rig does not kill the process before the end of the test.
func (s *sidecar) interrupted(span) bool { return false }

// addStall takes note that the rig held the process up.
func (s *sidecar) addStall(stall span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls = append(s.stalls, stall)
}

// checkHealthyProcess checks that the process runs and has stayed within its memory.
func (s *sidecar) checkHealthyProcess() {
	s.t.Helper()
	peak, limit := s.peakMemory(), s.limits.memoryMB<<10
	s.t.Logf("peak memory: %d of %d kB, resident now: %d kB", peak, limit, s.residentMemory())
	if !s.alive() || peak > limit {
		s.t.Errorf("process alive: %v, peak memory %d kB of %d kB", s.alive(), peak, limit)
	}
	s.checkSocketMemory()
}

// checkShutdown checks that the process ends by itself, and has stayed within its memory.
func (s *sidecar) checkShutdown() {
	s.t.Helper()
	nettest.Eventually(s.t, "the process ends", func() bool { return !s.alive() })
	peak, limit := s.peakMemory(), s.limits.memoryMB<<10
	s.t.Logf("peak memory: %d of %d kB", peak, limit)
	if state := s.cmd.ProcessState; !state.Success() || peak > limit {
		s.t.Errorf("the process ended with %v and peak memory %d kB of %d kB", state, peak, limit)
	}
	s.checkSocketMemory()
}

// tail returns the last n bytes of a text.
func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// startDiscovery starts a stand-in for discovery that answers each watch with the catalog and then sends heartbeats.
func startDiscovery(t *testing.T, catalog string) (addr string) {
	t.Helper()
	if !json.Valid([]byte(catalog)) {
		t.Fatalf("catalog %q", catalog)
	}
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s\n", catalog)
		for {
			time.Sleep(2 * time.Second)
			if _, err := c.Write([]byte("\n")); err != nil {
				return false
			}
		}
	})
	return stub.Addr
}
