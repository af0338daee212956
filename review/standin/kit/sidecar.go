package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Sidecar is a real sidecar process.
type Sidecar struct {
	Name, Addr string
	Config     map[string]any
	Cmd        *exec.Cmd
	Exited     chan struct{} // closed when the process has ended

	file string
	log  *os.File
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// StartSidecar writes the configuration file and starts the run command of the deploy file.
func StartSidecar(root, run, dir string, config map[string]any) (*Sidecar, error) {
	name := config["name"].(string)
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	config["listen"] = addr
	s := &Sidecar{Name: name, Addr: addr, Config: config, Exited: make(chan struct{})}
	s.file = filepath.Join(dir, name+".json")
	if err := s.WriteConfig(); err != nil {
		return nil, err
	}
	private := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(private, 0o755); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	s.Cmd = exec.Command("/bin/sh", "-c", run)
	s.Cmd.Dir = root
	s.Cmd.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+addr,
		"LB_DISCOVERY="+config["discovery"].(string), "LB_CONFIG="+s.file, "TMPDIR="+private)
	s.Cmd.Stdout, s.Cmd.Stderr = s.log, s.log
	if err := s.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		s.Cmd.Wait()
		close(s.Exited)
	}()
	return s, nil
}

// WriteConfig writes the configuration file.
func (s *Sidecar) WriteConfig() error {
	raw, err := json.Marshal(s.Config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.file+".new", raw, 0o644); err != nil {
		return err
	}
	return os.Rename(s.file+".new", s.file)
}

// WaitReady waits until the sidecar's health endpoint answers 200.
func (s *Sidecar) WaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.Exited:
			return fmt.Errorf("%s ended: %s", s.Name, s.Log())
		default:
		}
		resp, err := client.Get("http://" + s.Addr + "/_health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(s.Name + " was not ready in time")
}

// Alive reports whether the process runs.
func (s *Sidecar) Alive() bool {
	select {
	case <-s.Exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (s *Sidecar) Signal(sig syscall.Signal) { s.Cmd.Process.Signal(sig) }

// Stop kills the process and waits for its end.
func (s *Sidecar) Stop() {
	if s.Alive() {
		s.Signal(syscall.SIGKILL)
		<-s.Exited
	}
	s.log.Close()
}

// Log returns what the sidecar has logged.
func (s *Sidecar) Log() string {
	raw, _ := os.ReadFile(s.log.Name())
	return string(raw)
}
