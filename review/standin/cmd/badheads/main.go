// Command badheads shows a further fault, beyond the three cases: peers that send long, unfinished heads of many small
// header fields drive a sidecar over its memory limit.
package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"standin/kit"
)

const (
	memoryMB    = 64  // limits.memory_mb
	descriptors = 384 // limits.sockets
	badPeers    = 240
	length      = 8 * time.Second
)

func main() { kit.Main(60*time.Second, run) }

func run(c *kit.Case) (broken bool, err error) {
	registry := kit.NewRegistry()
	_, instances, err := kit.PickServers(9, registry, c.Record)
	if err != nil {
		return false, err
	}
	discovery := kit.NewDiscovery(c.Record, instances)
	front, err := discovery.Listen("a")
	if err != nil {
		return false, err
	}
	config := kit.Config("n1", front.Addr, "8c1f30d27a5be964", discovery.Snapshot(), kit.Settings(0, 2))
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	s, err := c.StartSidecar(config)
	if err != nil {
		return false, err
	}
	platform := kit.WatchMemory(c.Record, s, memoryMB)
	if c.Trouble {
		for range badPeers {
			go misbehave(s.Addr, time.Now().Add(length))
		}
	}
	client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
	results := client.Load(20, length, kit.Traffic)
	c.Record.Say("%d requests of the application; most memory %d of %d kB", len(results), platform.Most(), memoryMB<<10)
	if !c.Trouble && (!s.Alive() || results[0].Status == 0) {
		return false, fmt.Errorf("the sidecar does not serve")
	}
	return !platform.KilledAt().IsZero(), nil
}

// misbehave sends a head of 30 KB that never ends, waits for the error or the close that it is owed, and does so again.
func misbehave(addr string, until time.Time) {
	head := "POST /confirm-pick HTTP/1.1\r\nHost: app.svc\r\n" + strings.Repeat("a:\r\nb:\r\nc:\r\nd:\r\n", 1900)
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		io.WriteString(conn, head)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}
