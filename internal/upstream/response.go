package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/headers"
)

// maxResponseSize bounds what is read of one response with its head, and however it is cut into chunks.
const maxResponseSize = 8 * MaxBodySize

// Response is what came back for an attempt.
type Response struct {
	Result         balance.Result
	Body           []byte
	Header         http.Header
	LoadReport     []float32
	Err            error         // why Result is not OK
	ConnectionIdle time.Duration // how long its connection had been idle; 0: it was opened for the attempt
}

// failed returns the response of an attempt that was not served.
func failed(result balance.Result, err error) Response { return Response{Result: result, Err: err} }

// readResponse reads one response and says whether the connection can be used again. Only a whole 200 is served, and
// only the endpoint's word proves that nothing ran.
func readResponse(in *bufio.Reader, method string, reportFields []string) (r Response, reusable bool) {
	resp, err := readFinalHead(in, method)
	if err != nil {
		return failed(balance.Reset, err), false
	}
	knownLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodySize+1))
	resp.Body.Close()
	if err != nil {
		return failed(balance.Reset, fmt.Errorf("%w: %w", ErrTruncated, err)), false
	}
	oversized := len(body) > MaxBodySize
	switch {
	case !knownLength:
		r = failed(balance.Reset, ErrUnknownLength)
	case oversized:
		r = failed(balance.ServerError, ErrOversized)
	case resp.StatusCode == http.StatusOK:
		r = Response{Result: balance.OK, Body: body, Header: resp.Header}
	case provesNotExecuted(resp):
		r = failed(balance.Rejected, &StatusError{Status: resp.Status})
	default:
		r = failed(balance.ServerError, &StatusError{Status: resp.Status})
	}
	r.LoadReport = headers.ParseLoadReport(resp.Header.Get(headers.LoadReport), reportFields)
	return r, knownLength && !resp.Close && !oversized
}

// readFinalHead skips informational responses.
func readFinalHead(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		informational := resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols
		if !informational {
			return resp, nil
		}
	}
}

func provesNotExecuted(resp *http.Response) bool {
	status := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	return status && resp.Header.Get(headers.NotExecuted) == "1"
}

// limitedReader is a source that ends after some bytes, as there are endpoints whose responses never do.
type limitedReader struct {
	source    io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, ErrOversized
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
