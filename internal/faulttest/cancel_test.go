package faulttest

import (
	"fmt"
	"testing"
	"time"
)

// Guards against clients that leave and thereby make a fleet with hanging servers look full, so that the application's
// requests are refused although the other servers could serve them.
func TestLeavingClientsDoNotMakeTheFleetLookFull(t *testing.T) {
	for _, kind := range []string{floodRequests, floodLeavers, soundLeavers} {
		t.Run(kind, func(t *testing.T) {
			scenario{
				limits: leastLimits, rate: 60, bodySize: 200, duration: 8 * time.Second, mostServed: true,
				faulty: map[int]string{0: serverHangs, 3: serverHangs, 6: serverHangs},
				peers:  []hostilePeers{{Kind: kind, Connections: 4}},
			}.run(t)
		})
	}
}

// Guards against answers that wait for memory which clients hold that do not read theirs.
func TestClientsThatReadNothingLeaveMemoryForAnswers(t *testing.T) {
	scenario{
		limits: leastLimits, rate: 60, bodySize: 60_000, duration: 4 * time.Second,
		peers: []hostilePeers{{Kind: soundStuck, Connections: 300}},
	}.run(t)
}

// Guards against late and lost answers of the application beside a crowd of clients with sound requests.
func TestSoundCrowdsDoNotDelayTheApplication(t *testing.T) {
	for _, cores := range []float64{1, 0.5} {
		for _, kind := range soundKinds {
			t.Run(fmt.Sprintf("%s, %g cores", kind, cores), func(t *testing.T) {
				scenario{
					limits: limits{cores: cores, memoryMB: 32, sockets: 1024}, rate: 60, bodySize: 200,
					duration: 4 * time.Second, peers: []hostilePeers{{Kind: kind, Connections: 300}},
				}.run(t)
			})
		}
	}
}
