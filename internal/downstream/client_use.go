package downstream

import (
	"net"
	"net/netip"
	"sync"

	"pebblelift/internal/sidecar"
)

// maxTrackedAddresses is how many addresses of clients a clientUses distinguishes. Further ones count together.
const maxTrackedAddresses = 64

// otherAddresses stands for the addresses beyond maxTrackedAddresses.
var otherAddresses = netip.Addr{}

// clientUses adds up what clients make the server do, by their address, which stays when they connect anew.
type clientUses struct {
	mu     sync.Mutex
	byAddr map[netip.Addr]*sidecar.ClientUse
}

// add lets f add to the use of an address.
func (u *clientUses) add(addr netip.Addr, f func(*sidecar.ClientUse)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.byAddr[addr]
	if use == nil && len(u.byAddr) >= maxTrackedAddresses {
		addr = otherAddresses
		use = u.byAddr[addr]
	}
	if use == nil {
		use = &sidecar.ClientUse{Address: addr.String()}
		if u.byAddr == nil {
			u.byAddr = map[netip.Addr]*sidecar.ClientUse{}
		}
		u.byAddr[addr] = use
	}
	f(use)
}

// takeBusiest returns the use of the address that took the most work since the last call, and begins anew.
func (u *clientUses) takeBusiest() (busiest sidecar.ClientUse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, use := range u.byAddr {
		if use.Work >= busiest.Work {
			busiest = *use
		}
	}
	u.byAddr = nil
	return busiest
}

// clientAddr returns the IP address of a client.
func clientAddr(c net.Conn) netip.Addr {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort().Addr().Unmap()
	}
	return otherAddresses
}
