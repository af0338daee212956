package config

import (
	"fmt"
	"strings"
	"testing"

	"pebblelift/internal/nettest"
)

// Downstream connections, upstream connections and connections being rejected must stay within the limit on file
// descriptors, with some descriptors left for discovery. Clients send requests on up to a third of the descriptors.
// Each such request needs an upstream connection, and there must still be room for clients that connect and send
// nothing.
func TestDescriptorLimits(t *testing.T) {
	for _, sockets := range []int{256, 384, 1024} {
		limits, activeClients := Limits{Sockets: sockets}, sockets/3
		downstream, upstream := limits.DownstreamConnections(), limits.UpstreamConnections()
		total := downstream + upstream + MaxConcurrentRejections
		if total > sockets-32 || upstream < activeClients || downstream < activeClients+16 {
			t.Errorf("%d descriptors: %d downstream and %d upstream connections", sockets, downstream, upstream)
		}
	}
}

// Parse reports each invalid configuration with an error of a single line.
func TestInvalidConfig(t *testing.T) {
	valid := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","settings":` + nettest.Settings + `}`
	if _, err := Parse([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for _, invalid := range []string{
		"",
		"[]",
		"{}",
		strings.Replace(valid, `"8c"`, `"no"`, 1),
		strings.Replace(valid, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(valid, "read_like", "odd", 1),
		strings.Replace(valid, `"seed"`, `"known":{"instances":7},"seed"`, 1),
	} {
		if _, err := Parse([]byte(invalid)); err == nil || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%q: error %v, want one of a single line", invalid, err)
		}
	}
}

// Gossip addresses must be IP addresses with a port, because there is no name service. An invalid address is reported
// with an error of a single line.
func TestInvalidPeerAddresses(t *testing.T) {
	for _, field := range []string{`"peer_listen":"x"`, `"peers":["127.0.0.1:1","host:1"]`, `"peers_all":"127.0.0.1"`} {
		raw := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",` + field +
			`,"settings":` + nettest.Settings + `}`
		if _, err := Parse([]byte(raw)); err == nil || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%s: error %v, want one of a single line", field, err)
		}
	}
}
