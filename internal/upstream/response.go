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

// maxResponseSize is the limit in bytes on what is read of one response, including informational responses, header
// fields, chunk framing and trailers.
const maxResponseSize = 8 * MaxBodySize

// Response is the outcome of an attempt.
type Response struct {
	Result         balance.Result
	Body           []byte        // nil if Result is not OK
	Header         http.Header   // nil if Result is not OK
	LoadReport     []float32     // in the order of Options.ReportFields, NaN for a missing value; nil if there is none
	Err            error         // why Result is not OK
	ConnectionIdle time.Duration // how long the connection had been idle before the attempt; 0 for a new connection
}

// failure returns the outcome of an attempt that was not served.
func failure(result balance.Result, err error) Response { return Response{Result: result, Err: err} }

// readResponse reads one response and reports whether the connection can be reused. The result is OK only for a
// complete response with status 200, and Rejected only if the endpoint states that it did not execute the request.
func readResponse(in *bufio.Reader, method string, reportFields []string) (r Response, reusable bool) {
	resp, err := readFinalHead(in, method)
	if err != nil {
		return failure(balance.Reset, err), false
	}
	knownLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodySize+1))
	resp.Body.Close()
	if err != nil {
		return failure(balance.Reset, fmt.Errorf("%w: %w", ErrInvalidResponse, err)), false
	}
	oversized := len(body) > MaxBodySize
	switch {
	case !knownLength:
		r = failure(balance.Reset, ErrUnknownLength)
	case oversized:
		r = failure(balance.ServerError, ErrOversized)
	case resp.StatusCode == http.StatusOK:
		r = Response{Result: balance.OK, Body: body, Header: resp.Header}
	case provesNotExecuted(resp):
		r = failure(balance.Rejected, &StatusError{Status: resp.Status})
	default:
		r = failure(balance.ServerError, &StatusError{Status: resp.Status})
	}
	r.LoadReport = headers.ParseLoadReport(resp.Header.Get(headers.LoadReport), reportFields)
	return r, knownLength && !resp.Close && !oversized
}

// readFinalHead reads the status line and header of a response. It skips informational (1xx) responses, except for
// 101, which is final.
func readFinalHead(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		informational := resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols
		if !informational {
			return resp, nil
		}
	}
}

// provesNotExecuted reports whether the endpoint states that it did not execute the request: the status is 503 or 504
// and the header field headers.NotExecuted is "1".
func provesNotExecuted(resp *http.Response) bool {
	isRejection := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	return isRejection && resp.Header.Get(headers.NotExecuted) == "1"
}

// limitedReader reads from source and returns ErrOversized once remaining bytes have been read, because some endpoints
// send responses that never end.
type limitedReader struct {
	source    io.Reader
	remaining int // bytes
}

// Read reads from the source while the limit allows.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, ErrOversized
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
