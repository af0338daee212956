package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	fleetSeedCount = flag.Int("faulttest.fleetseeds", 6, "number of seeds of TestSeededFleetFaults")
	firstFleetSeed = flag.Uint64("faulttest.fleetfirst", 1, "first seed of TestSeededFleetFaults")
)

// nodeCount is the number of nodes in a fleet scenario.
const nodeCount = 4

// fleetFault is a fault that a fleet scenario injects at one node.
type fleetFault struct {
	kind  fleetFaultKind
	node  int
	at    time.Duration // from the start of the applications
	times int           // repetitions of a restart, a stop or a signal
	pause time.Duration // between repetitions
	peers hostilePeers  // if kind is crowd, without the address
}

// fleetFaultKind is a kind of fleetFault.
type fleetFaultKind string

const (
	restarts    fleetFaultKind = "restarts by SIGKILL"
	hangups     fleetFaultKind = "SIGHUP in series"
	userSignals fleetFaultKind = "SIGUSR1 in series"
	stops       fleetFaultKind = "SIGSTOP and SIGCONT in series"
	logCloses   fleetFaultKind = "the reader of the log closes it"
	logStops    fleetFaultKind = "the reader of the log stops reading"
	crowd       fleetFaultKind = "a crowd of clients"
)

// fleetScenario is a fleet of nodes, each under the traffic of its application, with faults.
type fleetScenario struct {
	seed     uint64
	limits   limits
	rate     int            // requests per second of each application
	bodySize int            // bytes in the bodies of requests and answers
	faulty   map[int]string // faults of pick servers by their number
	faults   []fleetFault
	duration time.Duration
}

// drawFleetScenario draws a scenario from a seed.
func drawFleetScenario(seed uint64) fleetScenario {
	random := rand.New(rand.NewPCG(seed, 0x9bace2))
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	s := fleetScenario{
		seed:     seed,
		limits:   limits{cores: float64(pick(25, 50, 75, 100)) / 100, memoryMB: pick(32, 32, 48, 64, 192), sockets: pick(256, 512, 1024)},
		rate:     pick(40, 60, 120),
		bodySize: pick(0, 200, 4000, 60_000),
		faulty:   map[int]string{},
		duration: time.Duration(pick(4, 5, 6)) * time.Second,
	}
	for range pick(2, 2, 3) {
		f := fleetFault{
			kind:  []fleetFaultKind{restarts, hangups, userSignals, stops, logCloses, logStops, crowd, crowd, crowd}[random.IntN(9)],
			node:  random.IntN(2), // two nodes, so that faults meet
			at:    time.Duration(random.IntN(2000)) * time.Millisecond,
			times: 1 + random.IntN(3),
			pause: time.Duration(random.IntN(300)) * time.Millisecond,
		}
		f.peers = drawCrowd(random, s.limits)
		s.faults = append(s.faults, f)
	}
	for range pick(0, 0, 1, 2) {
		s.faulty[random.IntN(pickServerCount)] = serverFaults[random.IntN(len(serverFaults))]
	}
	return s
}

// drawCrowd draws clients of one kind. Clients with sound or unfinished requests take up to a third of the descriptors.
func drawCrowd(random *rand.Rand, l limits) hostilePeers {
	kinds := slices.Concat(crowdKinds, floodKinds, soundKinds)
	p := hostilePeers{Kind: kinds[random.IntN(len(kinds))], Fields: 20 + random.IntN(2000), Seed: random.Uint64()}
	p.Connections = []int{1, 4, 12, 50}[random.IntN(4)]
	if !slices.Contains(floodKinds, p.Kind) {
		p.Connections = l.sockets / 3 * []int{25, 50, 100}[random.IntN(3)] / 100
	}
	return p
}

// run plays a scenario and checks the processes and the applications' answers.
func (s fleetScenario) run(t *testing.T) {
	t.Helper()
	servers, _ := startPickServers(t, pickServerCount, pickServiceTime, s.bodySize)
	for i, fault := range s.faulty {
		servers[i].setFault(fault)
	}
	nodes := startNodes(t, nodeCount, servers, s.limits)
	var faults, applications sync.WaitGroup
	for _, f := range s.faults {
		faults.Go(func() {
			time.Sleep(f.at)
			f.inject(t, nodes[f.node])
		})
	}
	results := make([]results, len(nodes))
	for i, n := range nodes {
		app := &application{
			addr: n.options.addr, process: n, rate: s.rate, bodySize: s.bodySize,
			random: rand.New(rand.NewPCG(s.seed, uint64(i))),
		}
		applications.Go(func() { results[i] = app.run(s.duration) })
	}
	applications.Wait()
	faults.Wait()
	for i, n := range nodes {
		results[i].check(t)
		if len(s.faulty) == 0 {
			results[i].checkServed(t)
		}
		n.check(t)
	}
}

// inject injects a fault.
func (f fleetFault) inject(t *testing.T, n *node) {
	switch f.kind {
	case restarts:
		for range f.times {
			n.restart(time.Second)
			time.Sleep(f.pause)
		}
	case hangups:
		n.signalSeries(syscall.SIGHUP, 50*f.times, f.pause/50)
	case userSignals:
		n.signalSeries(syscall.SIGUSR1, 10*f.times, f.pause/10)
	case stops:
		n.stopSeries(3*f.times, f.pause/2, f.pause/2)
	case logCloses:
		n.log.close()
	case logStops:
		n.log.stop()
	case crowd:
		f.peers.Addr = n.options.addr
		startPeers(t, f.peers)
	}
}

// Guards against the fault classes of report 9bace2 in a fleet with gossip: processes that end by themselves, memory over
// the limit by each way of counting, late and lost answers. Kinds, sizes, rates, limits and moments are drawn from a seed,
// and two or three faults come at once.
func TestSeededFleetFaults(t *testing.T) {
	for i := range *fleetSeedCount {
		seed := *firstFleetSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := drawFleetScenario(seed)
			t.Logf("%+v", s)
			s.run(t)
		})
	}
}
