package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config is the configuration file of a sidecar.
type Config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen,omitempty"`
	Peers      []string        `json:"peers,omitempty"`
	PeersAll   string          `json:"peers_all,omitempty"`
	Known      *Catalog        `json:"known,omitempty"`
	Settings   json.RawMessage `json:"settings"`
}

// Limits are the limits of a sidecar's process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Sidecar is a process of the project's sidecar.
type Sidecar struct {
	Addr   string
	Config string        // path of the configuration file
	Ended  chan struct{} // closed when the process has ended
	cmd    *exec.Cmd
	record *Record
}

// started are all sidecars that were started.
var started struct {
	sync.Mutex
	sidecars []*Sidecar
}

// killAll kills all processes that were started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, s := range started.sidecars {
		s.cmd.Process.Kill()
	}
}

// runCommand returns the run command of the deploy file below root.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if match == nil {
		return "", errors.New("no run command in the deploy file")
	}
	return strings.ReplaceAll(string(match[1]), `\"`, `"`), nil
}

// FreeAddress returns a loopback address with a port that nobody uses.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// StartSidecar starts a sidecar by the run command of the deploy file and waits until it is ready. The log of the process
// goes to a file in dir.
func StartSidecar(root, dir string, r *Record, c Config) (*Sidecar, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	if c.Listen == "" {
		if c.Listen, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	if c.Seed == "" {
		c.Seed = "8c1f30d27a5be964"
	}
	s := &Sidecar{Addr: c.Listen, Config: filepath.Join(dir, c.Name+".json"), Ended: make(chan struct{}), record: r}
	if err := s.WriteConfig(c); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir = root
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+s.Config, "LB_NAME="+c.Name, "LB_LISTEN="+c.Listen,
		"LB_DISCOVERY="+c.Discovery, "TMPDIR="+dir)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	started.Lock()
	started.sidecars = append(started.sidecars, s)
	started.Unlock()
	go func() {
		s.cmd.Wait()
		r.Logf("sidecar %s has ended: %v", c.Name, s.cmd.ProcessState)
		close(s.Ended)
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.Healthy() {
			r.Logf("sidecar %s is ready at %s", c.Name, s.Addr)
			return s, nil
		}
	}
	s.Kill()
	return nil, fmt.Errorf("sidecar %s is not ready", c.Name)
}

// WriteConfig writes the configuration file.
func (s *Sidecar) WriteConfig(c Config) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return os.WriteFile(s.Config, raw, 0o600)
}

// Healthy reports whether the health check answers 200.
func (s *Sidecar) Healthy() bool {
	c, err := net.DialTimeout("tcp", s.Addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	line := make([]byte, 12)
	c.Read(line)
	return string(line) == "HTTP/1.1 200"
}

// Signal sends a signal to the process.
func (s *Sidecar) Signal(sig syscall.Signal) {
	s.record.Logf("signal to the sidecar: %v", sig)
	s.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits for its end.
func (s *Sidecar) Kill() {
	s.cmd.Process.Kill()
	<-s.Ended
}
