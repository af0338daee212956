package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/headers"
)

const (
	// maxResponseSize is the limit in bytes on what is read of one response, including informational responses, header
	// fields, chunk framing and trailers.
	maxResponseSize = 8 * MaxBodySize
	// maxHeadSize is the largest size in bytes of a status line with its header.
	maxHeadSize = 16 << 10
	// maxHeadFields is the largest number of header fields of a response.
	maxHeadFields = 100
	// initialBodySize is the size in bytes of the first buffer for a body of unknown length.
	initialBodySize = 4 << 10
)

// responseReaders holds readers for use while a response is read. net/http needs the whole trailer of a response in the
// buffer of its reader.
var responseReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Response is the outcome of an attempt.
type Response struct {
	Result         balance.Result
	Body           []byte              // nil if Result is not OK
	memory         *budget.Reservation // of the body; nil if Result is not OK
	Header         http.Header         // nil if Result is not OK
	LoadReport     []float32           // in the order of Options.ReportFields, NaN for a missing value; nil if there is none
	Err            error               // why Result is not OK
	ConnectionIdle time.Duration       // how long the connection had been idle before the attempt; 0 for a new connection
}

// Release releases the memory of the body. It must be called once the response is no longer used.
func (r *Response) Release() { r.memory.Release() }

// failure returns the outcome of an attempt that was not served.
func failure(result balance.Result, err error) Response { return Response{Result: result, Err: err} }

// readResponse reads one response and reports whether the connection can be reused. The result is OK only for a
// complete response with status 200, and Rejected only if the endpoint states that it did not execute the request.
// The body waits for memory until ctx ends.
func readResponse(
	ctx context.Context, in *bufio.Reader, method string, reportFields []string, memory *budget.Memory,
) (r Response, reusable bool) {
	rest := responseReaders.Get().(*bufio.Reader)
	defer func() {
		rest.Reset(nil)
		responseReaders.Put(rest)
	}()
	resp, err := readFinalHead(in, rest, method)
	if err != nil {
		return failure(balance.Reset, err), false
	}
	knownLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body, held, err := readBody(ctx, resp, memory)
	if err != nil {
		return failure(balance.Reset, fmt.Errorf("%w: %w", ErrInvalidResponse, err)), false
	}
	defer func() {
		if r.Result != balance.OK {
			held.Release()
		}
	}()
	oversized := len(body) > MaxBodySize
	switch {
	case !knownLength:
		r = failure(balance.Reset, ErrUnknownLength)
	case oversized:
		r = failure(balance.ServerError, ErrOversized)
	case resp.StatusCode == http.StatusOK:
		r = Response{Result: balance.OK, Body: body, Header: resp.Header, memory: held}
	case provesNotExecuted(resp):
		r = failure(balance.Rejected, &StatusError{Status: resp.Status})
	default:
		r = failure(balance.ServerError, &StatusError{Status: resp.Status})
	}
	r.LoadReport = headers.ParseLoadReport(resp.Header.Get(headers.LoadReport), reportFields)
	return r, knownLength && !resp.Close && !oversized && rest.Buffered() == 0
}

// readBody reads the body of a response, up to one byte more than is allowed. It reserves the memory of the body before
// it reads, and waits for that until ctx ends.
func readBody(ctx context.Context, resp *http.Response, memory *budget.Memory) ([]byte, *budget.Reservation, error) {
	defer resp.Body.Close()
	size := int64(MaxBodySize + 1)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	if err := memory.Reserve(ctx, budget.Responses, size); err != nil {
		return nil, nil, err
	}
	held := memory.Hold(budget.Responses, size)
	body := bytes.NewBuffer(make([]byte, 0, min(size, initialBodySize)))
	if resp.ContentLength >= 0 {
		body = bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead)) // bytes.Buffer grows if less than MinRead is free
	}
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, MaxBodySize+1)); err != nil {
		held.Release()
		return nil, nil, err
	}
	held.Shrink(int64(body.Len()))
	return body.Bytes(), held, nil
}

// readFinalHead reads the status line and header of a response. It skips informational (1xx) responses, except for
// 101, which is final. The body is read through rest, which reads from in.
func readFinalHead(in, rest *bufio.Reader, method string) (*http.Response, error) {
	for {
		head, err := readHead(in)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		rest.Reset(io.MultiReader(bytes.NewReader(head), in)) // reads no byte of what follows along with the head
		resp, err := http.ReadResponse(rest, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		informational := resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols
		if !informational {
			return resp, nil
		}
	}
}

// readHead reads a status line with its header up to the empty line at its end, and no further. It limits size and
// lines before anything is parsed, because many short fields take far more memory once they are parsed.
func readHead(in *bufio.Reader) ([]byte, error) {
	var head []byte
	for lines := 0; lines <= maxHeadFields+1; {
		part, err := in.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxHeadSize:
			return nil, ErrOversized
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(part, "\r\n")) == 0 && bytes.HasSuffix(head, []byte("\n"+string(part))) {
			return head, nil
		}
		lines++
	}
	return nil, ErrOversized
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
