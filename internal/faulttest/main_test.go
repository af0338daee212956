// Package faulttest runs real sidecar processes on loopback between stand-ins for the application, pick servers and
// discovery, injects faults, and checks the rules of the protocol from outside. It has test files only.
package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// sidecarBinary is the path of the sidecar that the tests run. It is built without the race detector, like a release.
var sidecarBinary string

// TestMain builds the sidecar and runs the tests. Started by startPeers, the test binary sends the traffic of hostile
// peers instead, so that it takes no processor time from the stand-ins.
func TestMain(m *testing.M) {
	if spec := os.Getenv(peersVariable); spec != "" {
		runPeers(spec)
		return
	}
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	sidecarBinary = filepath.Join(dir, "sidecar")
	if out, err := exec.Command("go", "build", "-o", sidecarBinary, "pebblelift/cmd/sidecar").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the sidecar: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
