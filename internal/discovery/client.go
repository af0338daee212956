// Package discovery is the client of the discovery service: it fetches and watches the endpoint list.
package discovery

import (
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
	catalogPath = "/catalog/members"
	dialTimeout = time.Second
	// fetchTimeout leaves discovery the time in which it answers late: it gives a call up itself after 3 s.
	fetchTimeout = 4 * time.Second
	// WatchStallTimeout is the silence after which a watch is dead. A heartbeat, an empty line, comes every 2 s.
	// What a dead watch misses counts as notified after 6 s, and the next call takes its time.
	WatchStallTimeout = 2500 * time.Millisecond
	maxMessageSize    = 4 << 20 // bytes
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client makes calls to one discovery service.
type Client struct {
	url          string
	http         *http.Client
	stallTimeout time.Duration
}

// NewClient returns a client of the service at an address.
func NewClient(addr string) *Client {
	return NewClientWithDialer(addr, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWithDialer returns a client that opens its connections by dial.
func NewClientWithDialer(addr string, dial DialFunc) *Client {
	return &Client{
		url:          "http://" + addr + catalogPath,
		stallTimeout: WatchStallTimeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true, // a reused connection would make the transport send a call twice
			DisableCompression: true,
		}},
	}
}

// Fetch returns the whole endpoint list.
func (c *Client) Fetch(ctx context.Context) (Catalog, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, ErrTimeout)
	defer cancel()
	body, err := c.get(ctx, nil)
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", err)
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxMessageSize))
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", unavailable(ctx, err))
	}
	catalog, err := ParseCatalog(raw)
	if err != nil {
		return catalog, fmt.Errorf("fetch: %w", err)
	}
	return catalog, nil
}

// Watch hands each message after a generation to handle, until the watch ends, which it always does with an error. The
// response must begin within a timeout; from then on only silence ends the watch.
func (c *Client) Watch(ctx context.Context, after uint64, timeout time.Duration, handle func(Catalog)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(timeout, func() { cancel(ErrTimeout) })
	defer late.Stop()
	body, err := c.get(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(after, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer body.Close()
	late.Stop()
	stalled := time.AfterFunc(c.stallTimeout, func() { cancel(ErrStalled) })
	defer stalled.Stop()
	reader := &heartbeatReader{source: body, onHeartbeat: func() { stalled.Reset(c.stallTimeout) }}
	return fmt.Errorf("watch: %w", readMessages(ctx, reader, handle))
}

// readMessages returns the reason for which there are no more.
func readMessages(ctx context.Context, reader *heartbeatReader, handle func(Catalog)) error {
	reader.awaitMessage(nil)
	for decoder := json.NewDecoder(reader); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); errors.Is(err, io.EOF) && ctx.Err() == nil {
			return ErrEnded
		} else if err != nil {
			return unavailable(ctx, err)
		}
		reader.awaitMessage(decoder.Buffered())
		catalog, err := ParseCatalog(raw)
		if err != nil {
			return err
		}
		handle(catalog)
	}
}

// get begins a call and returns the open body of its response.
func (c *Client) get(ctx context.Context, query url.Values) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{Status: resp.Status}
	}
	return resp.Body, nil
}

// unavailable says why a call broke off: by the cause that ended its context, if there is one.
func unavailable(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = ErrUnavailable
	}
	return fmt.Errorf("%w: %w", cause, err)
}
