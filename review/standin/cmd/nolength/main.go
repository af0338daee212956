// Command nolength is a case: some answers of the pick servers have no length and end with their connection, as the
// pages allow. Of those that come whole, half at least have to be forwarded.
package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"sync"
	"time"

	"standin/kit"
)

func main() { kit.Main(60*time.Second, run) }

// noLength reports whether the answer to a request has no length: one in ten.
func noLength(id string) bool {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()%10 == 0
}

func run(c *kit.Case) (broken bool, err error) {
	registry := kit.NewRegistry()
	servers, instances, err := kit.PickServers(9, registry, c.Record)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	whole := map[string]string{} // the body of the last whole answer without a length, by request
	for _, p := range servers {
		p.Answer = func(conn net.Conn, s kit.Sent) bool {
			body := kit.ServedBody(s.ID) + " by " + p.Name
			if c.Trouble && noLength(s.ID) {
				mu.Lock()
				whole[s.ID] = body
				mu.Unlock()
				c.Record.Add("%s answers id=%s without a length and closes the connection after the last byte", p.Name, s.ID)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body)
				return false
			}
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return err == nil
		}
	}
	discovery := kit.NewDiscovery(c.Record, instances)
	front, err := discovery.Listen("a")
	if err != nil {
		return false, err
	}
	config := kit.Config("n1", front.Addr, "8c1f30d27a5be964", discovery.Snapshot(), kit.Settings(0, 2))
	s, err := c.StartSidecar(config)
	if err != nil {
		return false, err
	}
	client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
	results := client.Load(75, 10*time.Second, kit.Traffic)
	mu.Lock()
	defer mu.Unlock()
	forwarded, failed, served := 0, map[string]int{}, 0
	for _, r := range results {
		if r.Status == 200 {
			served++
		}
		body, ok := whole[r.Request.ID]
		if !ok {
			continue
		}
		if r.Status == 200 && r.Body == body {
			forwarded++
		} else {
			failed[fmt.Sprintf("%s %d", r.Request.Class, r.Status)]++
		}
	}
	c.Record.Say("%d requests, %d served; answers without a length that came whole: %d, forwarded: %d; the others: %v",
		len(results), served, len(whole), forwarded, failed)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return 2*forwarded < len(whole), nil
}
