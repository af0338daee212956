package faulttest

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

var (
	seedCount = flag.Int("faulttest.seeds", 12, "number of seeds of TestSeededFaults")
	duration  = flag.Duration("faulttest.duration", 0, "duration of a seed of TestSeededFaults; 0: drawn")
	firstSeed = flag.Uint64("faulttest.first", 1, "first seed of TestSeededFaults")
)

const (
	// pickServerCount and pickServiceTime describe the usual pick servers.
	pickServerCount = 9
	pickServiceTime = 20 * time.Millisecond
)

// scenario is a sidecar under the usual traffic of its application and beside hostile peers.
type scenario struct {
	limits   limits
	peers    []hostilePeers // without addresses
	rate     int            // requests per second of the application
	bodySize int            // bytes in the bodies of requests and answers
	faulty   map[int]string // faults of pick servers by their number
	duration time.Duration
	shutdown time.Duration // when SIGTERM comes, SIGKILL being its earliest time behind; 0 for no shutdown
	seed     uint64

	mostServed bool // 95 in 100 requests have to be served although pick servers are faulty
}

// killAfterShutdown is the earliest time from SIGTERM to SIGKILL: the longest deadline of sidecarSettings and 0.7 s.
const killAfterShutdown = 3200 * time.Millisecond

// run plays a scenario and checks the process and the application's answers.
func (s scenario) run(t *testing.T) {
	t.Helper()
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, s.bodySize)
	for i, fault := range s.faulty {
		servers[i].setFault(fault)
	}
	process := startSidecar(t, servers, s.limits)
	app := &application{
		addr: process.addr, process: process, rate: s.rate, bodySize: s.bodySize, random: rand.New(rand.NewPCG(s.seed, 0)),
	}
	for _, p := range s.peers {
		p.Addr, p.Seed = process.addr, s.seed
		defer startPeers(t, p)()
	}
	if s.shutdown > 0 {
		time.AfterFunc(s.shutdown, func() {
			now := time.Now()
			app.endingAt.Store(&now)
			process.cmd.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(killAfterShutdown, func() { process.cmd.Process.Kill() })
		})
	}
	halfTime := time.AfterFunc(s.duration/2, func() { t.Logf("resident at half time: %d kB", process.residentMemory()) })
	defer halfTime.Stop()
	results := app.run(s.duration)
	results.check(t)
	if s.shutdown > 0 {
		process.checkShutdown()
		return
	}
	if len(s.faulty) == 0 || s.mostServed {
		results.checkServed(t)
	}
	process.checkHealthyProcess()
}

// Guards against a process over its memory limit while hundreds of peers leave a large request unfinished.
func TestUnfinishedRequestsStayWithinMemory(t *testing.T) {
	for _, kind := range crowdKinds {
		t.Run(kind, func(t *testing.T) {
			scenario{
				limits: leastLimits, rate: 60, bodySize: 200, duration: 4 * time.Second,
				peers: []hostilePeers{{Kind: kind, Connections: 400}},
			}.run(t)
		})
	}
}

// Guards against late and lost answers of the application while other clients send at full speed.
func TestFloodsDoNotDelayTheApplication(t *testing.T) {
	for _, kind := range floodKinds {
		t.Run(kind, func(t *testing.T) {
			scenario{
				limits: leastLimits, rate: 60, bodySize: 200, duration: 4 * time.Second,
				peers: []hostilePeers{{Kind: kind, Connections: 12, Fields: 2000}},
			}.run(t)
		})
	}
}

// Guards against a second run of a request that comes again after its client has left.
func TestRequestDoesNotRunAgainAfterItsClientLeft(t *testing.T) {
	servers, record := startPickServers(t, pickServerCount, pickServiceTime, 0)
	process := startSidecar(t, servers, leastLimits)
	statuses := map[int]int{}
	for range 50 {
		id := newTraceID()
		request := "POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id +
			"\r\nX-Qos: once\r\nX-Expires-In: 2000m\r\nContent-Length: 0\r\n\r\n"
		first := dial(t, process.addr)
		io.WriteString(first, request)
		nettest.Eventually(t, "the request runs", func() bool { return len(record.of(id)) > 0 })
		first.Close()
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond) // the moment of the repetition varies
		second := dial(t, process.addr)
		io.WriteString(second, request)
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses[resp.StatusCode]++
		second.Close()
		if runs := len(record.of(id)); runs != 1 {
			t.Errorf("request %s ran %d times, want once", id, runs)
		}
	}
	if statuses[http.StatusServiceUnavailable]+statuses[http.StatusTooManyRequests] > 0 {
		t.Errorf("answers by status %v: a refusal says that trying again is harmless", statuses)
	}
}

// Guards against requests that begin more than 0.1 s after their client has closed a connection with many of them, while
// other clients send at full speed.
func TestRequestsOfClosedConnectionAreNotForwarded(t *testing.T) {
	servers, record := startPickServers(t, pickServerCount, pickServiceTime, 0)
	process := startSidecar(t, servers, leastLimits)
	defer startPeers(t, hostilePeers{Kind: floodNewNames, Addr: process.addr, Connections: 4})()
	for i := range 60 {
		c := dial(t, process.addr)
		var ids []string
		for range 40 {
			id := newTraceID()
			ids = append(ids, id)
			fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In: 2000m\r\n\r\n", id)
		}
		time.Sleep(time.Duration(i%30) * time.Millisecond) // the moment of the close varies
		if i%2 == 0 {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		closedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		for _, id := range ids {
			for _, run := range record.of(id) {
				if after := run.Sub(closedAt); after > 100*time.Millisecond {
					t.Errorf("request %s began %v after its client had closed the connection", id, after)
				}
			}
		}
	}
	process.checkHealthyProcess()
}

// Guards against the fault classes of incident 0cec50 with kinds, sizes, limits, rates and moments drawn from a seed, two
// faults at once included.
func TestSeededFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := drawScenario(seed)
			if *duration > 0 {
				s.duration, s.shutdown = *duration, 0
			}
			t.Logf("%+v", s)
			s.run(t)
		})
	}
}

// drawScenario draws a scenario from a seed.
func drawScenario(seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, 0xcec50))
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	s := scenario{
		seed:     seed,
		limits:   limits{cores: float64(pick(50, 75, 100)) / 100, memoryMB: pick(32, 48, 64, 128, 192), sockets: pick(256, 512, 1024)},
		rate:     pick(40, 60, 120),
		bodySize: pick(0, 200, 4000, 64<<10),
		faulty:   map[int]string{},
		duration: time.Duration(pick(3, 4, 5)) * time.Second,
	}
	kinds := append(append([]string{}, crowdKinds...), floodKinds...)
	for range pick(1, 2, 2) {
		p := hostilePeers{Kind: kinds[random.IntN(len(kinds))], Fields: pick(20, 90, 200, 2000, 7000)}
		p.Connections = pick(1, 4, 12, 50)
		for _, crowd := range crowdKinds {
			if p.Kind == crowd {
				p.Connections = s.limits.sockets / 3 * pick(50, 75, 100) / 100
			}
		}
		s.peers = append(s.peers, p)
	}
	for range pick(0, 0, 1, 2) {
		s.faulty[random.IntN(pickServerCount)] = serverFaults[random.IntN(len(serverFaults))]
	}
	if random.IntN(4) == 0 {
		s.shutdown = s.duration - time.Duration(200+random.IntN(800))*time.Millisecond
	}
	return s
}

// dial connects to an address. The connection is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nettest.Timeout))
	return c
}

// Guards against requests that get no answer, and a process that does not end by itself, when it is told to end beside
// hostile clients.
func TestShutdownBesideHostileClients(t *testing.T) {
	for _, kind := range []string{unfinishedBodies, silentPeers, floodNewNames, floodRequests, floodHealth} {
		t.Run(kind, func(t *testing.T) {
			scenario{
				limits: limits{cores: 0.75, memoryMB: 32, sockets: 1024}, rate: 60, bodySize: 200,
				duration: 2 * time.Second, shutdown: time.Second,
				peers: []hostilePeers{{Kind: kind, Connections: 50}},
			}.run(t)
		})
	}
}

// Guards against a process that does not end by itself because a client goes on sending ahead of its responses.
func TestShutdownBesideOneClientThatSendsAhead(t *testing.T) {
	scenario{
		limits: limits{cores: 0.5, memoryMB: 32, sockets: 1024}, rate: 40, duration: 2 * time.Second, shutdown: time.Second,
		peers: []hostilePeers{{Kind: floodRequests, Connections: 1}},
	}.run(t)
}

// Guards against a process over its memory limit when a crowd of unfinished requests, a flood and the application's own
// requests with large bodies come together, with few descriptors as well as many.
func TestCrowdFloodAndLargeBodiesStayWithinMemory(t *testing.T) {
	for _, l := range []limits{leastLimits, {cores: 1, memoryMB: 32, sockets: 256}, {cores: 1, memoryMB: 192, sockets: 1024}} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", l.memoryMB, l.sockets), func(t *testing.T) {
			scenario{
				limits: l, rate: 100, bodySize: 64 << 10, duration: 4 * time.Second,
				peers: []hostilePeers{
					{Kind: unfinishedBodies, Connections: l.sockets / 3},
					{Kind: floodManyFields, Connections: 12, Fields: 90},
				},
			}.run(t)
		})
	}
}

// Guards against answers that wait for memory which as many clients as there are descriptors for hold with unfinished
// requests.
func TestCrowdOnAllDescriptorsLeavesMemoryForAnswers(t *testing.T) {
	scenario{
		limits: leastLimits, rate: 60, bodySize: 64 << 10, duration: 4 * time.Second,
		peers: []hostilePeers{{Kind: unfinishedBodies, Connections: 600}},
	}.run(t)
}
