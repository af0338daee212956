package faulttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pebblelift/internal/sockopt"
)

// peersVariable names the environment variable that holds the hostilePeers of a process, as JSON.
const peersVariable = "FAULTTEST_PEERS"

// The kinds of hostile peers.
const (
	unfinishedHeads  = "unfinished heads of many fields"
	unfinishedLong   = "unfinished heads of long fields"
	unfinishedBodies = "unfinished bodies"
	slowBodies       = "slow bodies"
	silentPeers      = "silent connections"
	floodManyFields  = "flood of heads of many fields"
	floodUnsound     = "flood of unsound requests"
	floodHealth      = "flood of health checks"
	floodNewNames    = "flood of new names"
	floodConnects    = "flood of connections"
	floodRequests    = "flood of requests sent ahead"
	floodLeavers     = "flood of clients that leave"
	soundBodies      = "sound requests with large bodies, answers read"
	soundUnread      = "sound requests with 1 ms left, answers unread"
	soundShort       = "sound requests with 1 ms left, answers read"
	soundRequests    = "sound requests, answers read"
	soundLeavers     = "sound requests, clients leave after some ms"
	soundStuck       = "sound requests, no byte of the answers read"
)

var crowdKinds = []string{unfinishedHeads, unfinishedLong, unfinishedBodies, slowBodies, silentPeers}

var floodKinds = []string{
	floodManyFields, floodUnsound, floodHealth, floodNewNames, floodConnects, floodRequests, floodLeavers,
}

// soundKinds send sound requests, one at a time on a connection but for soundUnread, without pause.
var soundKinds = []string{soundBodies, soundUnread, soundShort, soundRequests, soundLeavers, soundStuck}

// hostilePeers is a number of connections that all misbehave in the same way until their process ends.
type hostilePeers struct {
	Kind        string
	Addr        string
	Connections int
	Fields      int // header fields in a head of many fields
	Seed        uint64
}

// startPeers starts a process that sends the traffic of hostile peers. It runs until the returned function is called.
func startPeers(t *testing.T, p hostilePeers) (stop func()) {
	t.Helper()
	spec, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), peersVariable+"="+string(spec), "GOMAXPROCS=2")
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop = sync.OnceFunc(func() {
		input.Close()
		cmd.Wait()
	})
	t.Cleanup(stop)
	return stop
}

// runPeers sends the traffic of the given peers until standard input ends.
func runPeers(spec string) {
	var p hostilePeers
	if err := json.Unmarshal([]byte(spec), &p); err != nil {
		panic(err)
	}
	for i := range p.Connections {
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		go func() {
			for {
				p.connect(random)
			}
		}()
	}
	io.Copy(io.Discard, os.Stdin)
}

// connect opens one connection, misbehaves on it and returns when the sidecar has closed it.
func (p *hostilePeers) connect(random *rand.Rand) {
	var dialer net.Dialer
	if p.Kind == soundStuck {
		dialer.Control = sockopt.LimitBuffers(stuckBuffer)
	}
	c, err := dialer.Dial("tcp", p.Addr)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	if p.Kind == floodConnects {
		c.Close()
		return
	}
	if slices.Contains(soundKinds, p.Kind) {
		p.sendSound(c, random)
		return
	}
	closed := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c)
		c.Close()
		close(closed)
	}()
	p.write(c, random)
	<-closed
}

// write sends what the kind of peer sends.
func (p *hostilePeers) write(c net.Conn, random *rand.Rand) {
	out := bufio.NewWriter(c)
	switch p.Kind {
	case silentPeers:
	case floodLeavers:
		out.WriteString(p.floodMessage(random))
		out.Flush()
		c.Close()
	case unfinishedHeads:
		out.WriteString("GET /look HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 7900))
	case unfinishedLong:
		out.WriteString("GET /look HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: "+strings.Repeat("x", 995)+"\r\n", 32))
	case unfinishedBodies:
		out.WriteString(postHead(random) + strings.Repeat("x", 64<<10-1))
	case slowBodies:
		out.WriteString(postHead(random))
		for range 63 {
			out.WriteString(strings.Repeat("x", 1<<10))
			out.Flush()
			time.Sleep(30 * time.Millisecond)
		}
	default:
		for {
			if _, err := out.WriteString(p.floodMessage(random)); err != nil {
				return
			}
		}
	}
	out.Flush()
}

// floodMessage returns one message of a flood.
func (p *hostilePeers) floodMessage(random *rand.Rand) string {
	name := fmt.Sprintf("%016x", random.Uint64())
	switch p.Kind {
	case floodManyFields:
		return "GET /look HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", p.Fields) + "\r\n"
	case floodUnsound:
		return "GET /look HTTP/1.1\r\nHost: x\r\n\r\n"
	case floodRequests, floodLeavers:
		return "GET /look HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Expires-In: 300m\r\nX-Trace-Id: " + name + "\r\n\r\n"
	case floodHealth:
		return "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	default:
		return fmt.Sprintf("GET /%s?sid=%s HTTP/1.1\r\nHost: x\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-%s: 1\r\nX-Trace-Id: %s\r\n\r\n",
			name, name, name, name, name, name)
	}
}

// unreadPause is the pause of soundUnread between two requests, and leaveAfter the longest time after which a client of
// soundLeavers leaves.
const (
	unreadPause = 5 * time.Millisecond
	leaveAfter  = 30 * time.Millisecond
	// stuckTime is how long a client of soundStuck stays, with a receive buffer of stuckBuffer bytes.
	stuckTime   = 10 * time.Second
	stuckBuffer = 4 << 10
)

// sendSound sends sound requests until the connection ends.
func (p *hostilePeers) sendSound(c net.Conn, random *rand.Rand) {
	for in := bufio.NewReader(c); ; {
		if _, err := io.WriteString(c, p.soundRequest(random)); err != nil {
			return
		}
		switch p.Kind {
		case soundUnread:
			time.Sleep(unreadPause)
			continue
		case soundStuck:
			time.Sleep(stuckTime)
			return
		case soundLeavers:
			time.Sleep(time.Duration(random.Int64N(int64(leaveAfter))))
			return
		}
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return
		}
	}
}

// soundRequest returns one sound request.
func (p *hostilePeers) soundRequest(random *rand.Rand) string {
	fields := fmt.Sprintf("Host: x\r\nX-Trace-Id: c%016x\r\n", random.Uint64())
	switch p.Kind {
	case soundBodies:
		return fmt.Sprintf("POST /once HTTP/1.1\r\nX-Qos: once\r\nX-Expires-In: 2000m\r\n%sContent-Length: 60000\r\n\r\n%s",
			fields, strings.Repeat("x", 60_000))
	case soundShort, soundUnread:
		return "GET /look HTTP/1.1\r\nX-Qos: look\r\nX-Expires-In: 1m\r\n" + fields + "\r\n"
	default:
		return "GET /look HTTP/1.1\r\nX-Qos: look\r\nX-Expires-In: 1000m\r\n" + fields + "\r\n"
	}
}

// postHead returns the head of a proper request with a body of 64 KiB.
func postHead(random *rand.Rand) string {
	return fmt.Sprintf("POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: p%016x\r\nX-Qos: once\r\nX-Expires-In: 2000m\r\n"+
		"Content-Length: %d\r\n\r\n", random.Uint64(), 64<<10)
}
