// Command smuggle is case 1: a peer that is no client sends an improper request to the health path, whose body holds
// the text of a further request. Nobody has sent that text as a request, so no pick server may get it.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"standin/kit"
)

func main() { kit.Main(60*time.Second, run) }

func run(c *kit.Case) (broken bool, err error) {
	registry := kit.NewRegistry()
	servers, instances, err := kit.PickServers(9, registry, c.Record)
	if err != nil {
		return false, err
	}
	discovery := kit.NewDiscovery(c.Record, instances)
	front, err := discovery.Listen("a")
	if err != nil {
		return false, err
	}
	var sidecars []*kit.Sidecar
	for i := range 2 {
		name := fmt.Sprint("n", i+1)
		config := kit.Config(name, front.Addr, fmt.Sprintf("8c1f30d27a5be96%d", i), discovery.Snapshot(), kit.Settings(i, 2))
		s, err := c.StartSidecar(config)
		if err != nil {
			return false, err
		}
		sidecars = append(sidecars, s)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		misbehave(c, sidecars[0])
	}()
	results := make(chan []kit.Result, len(sidecars))
	for _, s := range sidecars {
		client := &kit.Client{Addr: s.Addr, Name: "app of " + s.Name, Registry: registry, Record: c.Record, Patience: time.Second}
		go func() { results <- client.Load(40, 8*time.Second, kit.Traffic) }()
	}
	answered, served := 0, 0
	for range sidecars {
		for _, r := range <-results {
			if r.Status != 0 {
				answered++
			}
			if r.Status == 200 && r.Body == kit.ServedBody(r.Request.ID) {
				served++
			}
		}
	}
	<-done
	if served == 0 {
		return false, fmt.Errorf("no request of a client was served")
	}
	foreign := 0
	for _, p := range servers {
		for _, a := range p.Arrivals() {
			if !a.Known && !strings.HasPrefix(a.Sent.ID, "outer-") {
				foreign++
			}
		}
	}
	c.Record.Say("clients' requests: %d answered, %d of them served; requests at pick servers that no client sent: %d",
		answered, served, foreign)
	return foreign > 0, nil
}

// misbehave sends ten improper requests to the health path, each on a connection of its own. It states the length of
// its body twice, and by Content-Length the whole rest is the body. Without trouble it sends a proper health check.
// With AHEAD=1 it shows a second gap instead, which is no part of the case: see ahead.
func misbehave(c *kit.Case, s *kit.Sidecar) {
	for i := range 10 {
		time.Sleep(500 * time.Millisecond)
		inner := fmt.Sprintf("POST /confirm-pick?sid=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: inside-a-body-%d\r\n"+
			"X-Qos: confirm-pick\r\nX-Customer: kertfa\r\nX-Expires-In: 2000m\r\nContent-Length: 8\r\n\r\nstock -1", i)
		body := "0\r\n\r\n" + inner
		message := fmt.Sprintf("GET /_health HTTP/1.1\r\nHost: app.svc\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		if os.Getenv("AHEAD") == "1" {
			message = ahead(i, inner)
		}
		if !c.Trouble {
			message = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"
		}
		conn, err := net.Dial("tcp", s.Addr)
		if err != nil {
			c.Record.Add("bad peer: %v", err)
			continue
		}
		c.Record.Add("bad peer %d sends %q", i, message)
		io.WriteString(conn, message)
		conn.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		answer, _ := io.ReadAll(conn)
		c.Record.Add("bad peer %d got %q", i, answer)
		conn.Close()
	}
}

// ahead returns a health check, and sent with it, ahead of the answer, a message of HTTP/1.0 with Transfer-Encoding and a
// Content-Length that ends before the inner request, which stands in a chunk of its body.
func ahead(i int, inner string) string {
	size := fmt.Sprintf("%x\r\n", len(inner))
	return "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n" + fmt.Sprintf("POST /confirm-pick?sid=1 HTTP/1.0\r\n"+
		"Connection: keep-alive\r\nHost: app.svc\r\nX-Trace-Id: outer-%d\r\nX-Qos: confirm-pick\r\nX-Expires-In: 2000m\r\n"+
		"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s%s\r\n0\r\n\r\n", i, len(size), size, inner)
}
