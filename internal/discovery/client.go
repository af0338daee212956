package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	maxMessageSize = 4 << 20 // bytes of one message of discovery
	// An empty line comes every 2 s. A watch that is silent for longer than this is dead: what it should have
	// told counts as told after 6 s, and the next call takes its time.
	watchStallTimeout = 2500 * time.Millisecond
	fetchTimeout      = 4 * time.Second // of a fetch: discovery answers late, but gives a call up after 3 s itself
)

// Catalog is one message of discovery: the whole list, or what has changed.
type Catalog struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one entry of a Catalog.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAt   float64 `json:"startedAtMs"`
}

// parseCatalog reads one message. One bad entry spoils it all: half a list would be worse than none.
func parseCatalog(raw []byte) (Catalog, error) {
	var c Catalog
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("catalog: %w", err)
	}
	if c.Instances == nil {
		return c, errors.New("catalog: no instances")
	}
	for _, in := range c.Instances {
		switch in.Lifecycle {
		case "up", "draining", "removed":
		default:
			return c, fmt.Errorf("catalog: %q: unknown lifecycle %q", in.ID, in.Lifecycle)
		}
		_, _, err := net.SplitHostPort(in.HostPort)
		if in.ID == "" || err != nil && in.Lifecycle != "removed" {
			return c, fmt.Errorf("catalog: %q: bad entry, address %q", in.ID, in.HostPort)
		}
	}
	return c, nil
}

// discovery makes calls to the discovery service. Each call ends with one error or, for a fetch, one list.
type discoveryClient struct {
	base         string
	client       *http.Client
	stallTimeout time.Duration
}

func newDiscoveryClient(addr string) *discoveryClient {
	return &discoveryClient{
		base:         "http://" + addr + "/catalog/members",
		stallTimeout: watchStallTimeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableKeepAlives:  true, // a reused connection would make the transport send a call twice
			DisableCompression: true,
		}},
	}
}

// get begins a call and returns the open answer.
func (d *discoveryClient) open(ctx context.Context, query url.Values) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// fetch asks for the whole list once.
func (d *discoveryClient) fetch(ctx context.Context) (Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	body, err := d.open(ctx, nil)
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", err)
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxMessageSize))
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", err)
	}
	return parseCatalog(raw)
}

// errSilent ends a watch of which nothing was heard for too long.
var errStalled = errors.New("silent")

// watch hands each message to tell until the watch ends, breaks, talks nonsense or falls silent. Its answer must begin
// within a time; from then on, silence is what counts.
func (d *discoveryClient) watch(ctx context.Context, after uint64, within time.Duration, tell func(Catalog)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(within, func() { cancel(errors.New("no answer")) })
	defer late.Stop()
	body, err := d.open(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(after, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()
	late.Stop()
	silent := time.AfterFunc(d.stallTimeout, func() { cancel(errStalled) })
	defer silent.Stop()
	in := &heartbeatReader{Reader: body, onHeartbeat: func() { silent.Reset(d.stallTimeout) }}
	in.awaitMessage(nil)
	for messages := json.NewDecoder(in); ; {
		var raw json.RawMessage
		if err := messages.Decode(&raw); err != nil { // io.EOF where the watch ended between two messages
			return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
		}
		in.awaitMessage(messages.Buffered())
		c, err := parseCatalog(raw)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		tell(c)
	}
}

// pulse is the body of a watch. What comes between messages, an empty line every 2 s, shows that the watch is alive; so
// does the end of a message, which may take many lines, but not a part of one: it may never be whole.
type heartbeatReader struct {
	io.Reader
	onHeartbeat func()
	inMessage   bool // a message has begun
	remaining   int  // bytes that may still come of it
}

func (p *heartbeatReader) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, errors.New("a message that does not end")
	}
	n, err := p.Reader.Read(b[:min(len(b), p.remaining)])
	p.remaining -= n
	if p.inMessage = p.inMessage || len(bytes.TrimSpace(b[:n])) > 0; !p.inMessage && n > 0 {
		p.awaitMessage(nil)
	}
	return n, err
}

// next awaits a new message, of which a part may have been read.
func (p *heartbeatReader) awaitMessage(read io.Reader) {
	p.inMessage, p.remaining = false, maxMessageSize
	if read != nil {
		begun, _ := io.ReadAll(read) // of a buffer: it cannot fail
		p.inMessage = len(bytes.TrimSpace(begun)) > 0
	}
	p.onHeartbeat()
}
