// Package discovery is a client of the discovery service. It fetches and watches the endpoint list.
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

	"pebblelift/internal/sockopt"
	"pebblelift/internal/transient"
)

const (
	// catalogPath is the HTTP path of the endpoint list at the discovery service.
	catalogPath = "/catalog/members"

	// dialTimeout is the longest time that opening a connection to discovery may take.
	dialTimeout = time.Second

	// CallTimeout is the longest time that a fetch of the endpoint list may take, and that the response to a watch may
	// take to begin. Discovery itself gives up a call after 3 s, and the rest of the timeout leaves room for late
	// responses.
	CallTimeout = 4 * time.Second

	// WatchStallTimeout is the time without a heartbeat or a whole message after which a watch counts as stalled.
	// Discovery sends a heartbeat, an empty line, every 2 s. A sidecar counts as notified of a change after 6 s, even
	// if its watch stalled and missed the change, and the call that replaces the watch takes a part of the 6 s.
	WatchStallTimeout = 2500 * time.Millisecond

	// socketBuffer is the size in bytes of the buffers of a connection to discovery.
	socketBuffer = 64 << 10

	// maxMessageSize is the largest message of discovery that is accepted, in bytes.
	maxMessageSize = 4 << 20
)

// Client makes calls to one discovery service.
type Client struct {
	url          string // URL of the endpoint list, without a query
	http         *http.Client
	stallTimeout time.Duration // WatchStallTimeout; shorter in tests
}

// NewClient returns a client of the discovery service at an address of the form host:port.
func NewClient(addr string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: sockopt.LimitBuffers(socketBuffer)}
	return NewClientWithDialer(addr, dialer.DialContext)
}

// NewClientWithDialer returns a client of the discovery service at an address, which uses dial to open connections.
func NewClientWithDialer(addr string, dial transient.DialFunc) *Client {
	return &Client{
		url:          "http://" + addr + catalogPath,
		stallTimeout: WatchStallTimeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return transient.Dial(ctx, dial, network, address)
			},
			DisableKeepAlives:  true, // on reused connections the transport may send a call twice
			DisableCompression: true,
		}},
	}
}

// Fetch returns the whole endpoint list. It fails after 4 s.
func (c *Client) Fetch(ctx context.Context) (Catalog, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, CallTimeout, ErrTimeout)
	defer cancel()
	body, err := c.get(ctx, nil)
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", err)
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxMessageSize))
	if err != nil {
		return Catalog{}, fmt.Errorf("fetch: %w", callError(ctx, err))
	}
	catalog, err := ParseCatalog(raw)
	if err != nil {
		return catalog, fmt.Errorf("fetch: %w", err)
	}
	return catalog, nil
}

// WatchHandlers are the functions that Client.Watch calls while a watch is open.
type WatchHandlers struct {
	Opened  func()        // called once, when the response begins; may be nil
	Catalog func(Catalog) // called with each message
}

// Watch opens a watch for messages that are newer than afterGeneration. It returns when the watch ends, always with an
// error. The response must begin within the timeout. After that, the watch fails with ErrStalled once neither a
// heartbeat nor a whole message has arrived for WatchStallTimeout.
func (c *Client) Watch(
	ctx context.Context, afterGeneration uint64, timeout time.Duration, handlers WatchHandlers,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	responseTimer := time.AfterFunc(timeout, func() { cancel(ErrTimeout) })
	defer responseTimer.Stop()
	body, err := c.get(ctx, url.Values{"watch": {"1"}, "after": {strconv.FormatUint(afterGeneration, 10)}})
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer body.Close()
	responseTimer.Stop()
	if handlers.Opened != nil {
		handlers.Opened()
	}
	stallTimer := time.AfterFunc(c.stallTimeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	reader := &heartbeatReader{source: body, onHeartbeat: func() { stallTimer.Reset(c.stallTimeout) }}
	return fmt.Errorf("watch: %w", readMessages(ctx, reader, handlers.Catalog))
}

// readMessages calls handle with each message until the watch ends, and returns the error that ended the watch.
func readMessages(ctx context.Context, reader *heartbeatReader, handle func(Catalog)) error {
	reader.awaitMessage(nil)
	for decoder := json.NewDecoder(reader); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); errors.Is(err, io.EOF) && ctx.Err() == nil {
			return ErrEnded
		} else if err != nil {
			return callError(ctx, err)
		}
		reader.awaitMessage(decoder.Buffered())
		catalog, err := ParseCatalog(raw)
		if err != nil {
			return err
		}
		handle(catalog)
	}
}

// get starts a call and returns the open body of its response.
func (c *Client) get(ctx context.Context, query url.Values) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, callError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{Status: resp.Status}
	}
	return resp.Body, nil
}

// callError wraps the error that ended a call together with the cause that ended its context, or with ErrUnavailable if
// the context has not ended.
func callError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = ErrUnavailable
	}
	return fmt.Errorf("%w: %w", cause, err)
}
