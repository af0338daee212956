// Package simwire decodes the simulator's binary frames into events of package balance and encodes actions of package
// balance as replies. It makes no decisions.
package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"pebblelift/balance"
)

// The event codes of records in the simulator's frames. Action codes in replies overlap with event codes.
const (
	codeEndpointTable     = 1000 // event code of an endpoint table, to which endpoint updates refer
	codeRequest           = 1010 // event code of a balance.Request
	codeTimer             = 1020 // event code of a balance.Timer
	codeResponseStarted   = 1030 // event code of a balance.ResponseStarted
	codeEndpointUpdate    = 1040 // event code of a balance.EndpointUpdate
	codeGossip            = 1050 // event code of a balance.GossipMessage
	codeInstanceDown      = 1060 // event code of an InstanceDown
	codeInstanceStart     = 1070 // event code of an InstanceStart
	codeHealthCheckResult = 1080 // event code of a balance.HealthCheckResult
	codeAttemptResult     = 1090 // event code of a balance.AttemptResult
	codeClientCanceled    = 1100 // event code of a balance.ClientCanceled
)

const (
	frameHeaderSize = 16      // size in bytes of a frame's header: record count, frame length, clock
	tableEntrySize  = 23      // size in bytes of one endpoint in an endpoint table
	maxFrameSize    = 1 << 28 // largest valid frame in bytes, far above the largest that the simulator sends
	maxTables       = 16      // number of endpoint tables that can exist; their numbers start from 0
)

// The flags of a request record.
const (
	requestHasWorkHint = 1 << iota // flag of a request record whose work hint is valid
	requestIsRetry                 // flag of a request that the client marked as a retry
	requestMutates                 // flag of a request that changes data
)

// lifecycleCodes maps the lifecycle codes of endpoint tables to lifecycles.
var lifecycleCodes = map[uint8]balance.Lifecycle{0: balance.Ready, 1: balance.Removed, 2: balance.Draining}

// updateCodes maps the codes of endpoint updates to update kinds.
var updateCodes = map[uint8]balance.UpdateKind{
	0: balance.Snapshot, 1: balance.CachedSnapshot, 2: balance.WatchFailed, 3: balance.Delta,
}

// resultCodes maps the result codes of attempts and health checks to results.
var resultCodes = map[uint16]balance.Result{
	0: balance.OK, 13: balance.ServerError, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Canceled, 9: balance.NotSent,
}

// InstanceStart asks for the start of an instance, which is one simulated sidecar.
type InstanceStart struct {
	Seed     uint64 // seed of the instance's random numbers
	Settings []byte // settings object of the instance, in JSON
}

// InstanceDown reports that an instance was killed.
type InstanceDown struct{}

// Record is one event for one instance.
type Record struct {
	Instance uint16 // number of the instance that gets the event
	Event    any    // an InstanceStart, an InstanceDown or a balance.Event
}

// Reader reads frames. Endpoint tables stay valid in later frames until they are replaced.
type Reader struct {
	in           io.Reader
	buf          bytes.Buffer                  // records of the current frame
	tables       [maxTables][]balance.Endpoint // endpoint tables by their numbers
	hasTable     [maxTables]bool               // which endpoint tables have been received
	reportBuffer []float32                     // load report of the current record, reused for each record
}

// NewReader returns a Reader of the frames in the given input, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read reads the next frame and calls handle for each of its events, in order, with the frame's clock in ms. It returns
// io.EOF if the input ends between frames. Slices in events are valid only during the call of handle.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	count, clock, err := r.readFrame()
	if err != nil {
		return err
	}
	f := recordReader{data: r.buf.Bytes()}
	for i := uint32(0); i < count; i++ {
		offset := f.pos + frameHeaderSize
		rec, err := r.readRecord(&f)
		if err == nil && rec.Event != nil {
			err = handle(clock, rec)
		}
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, offset, err)
		}
	}
	if f.remaining() != 0 {
		return fmt.Errorf("%d unread bytes after the last of %d records in the frame", f.remaining(), count)
	}
	return nil
}

// readFrame reads the records of the next frame into the buffer and returns the record count and the clock, in ms, from
// the header. The buffer grows with the bytes that arrive, so that a wrong length in the header causes no large
// allocation.
func (r *Reader) readFrame() (count uint32, clock float64, err error) {
	var header [frameHeaderSize]byte
	_, err = io.ReadFull(r.in, header[:])
	if errors.Is(err, io.EOF) {
		return 0, 0, io.EOF
	}
	if err != nil {
		return 0, 0, fmt.Errorf("truncated frame header: %w", err)
	}
	count = binary.BigEndian.Uint32(header[0:])
	size := binary.BigEndian.Uint32(header[4:])
	clock = math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
	if size < frameHeaderSize || size > maxFrameSize {
		return 0, 0, fmt.Errorf("frame length %d: want %d to %d", size, frameHeaderSize, maxFrameSize)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return 0, 0, fmt.Errorf("frame clock is %v, want a finite number", clock)
	}
	r.buf.Reset()
	n, err := io.CopyN(&r.buf, r.in, int64(size-frameHeaderSize))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF means an end of input between frames
	}
	if err != nil {
		return 0, 0, fmt.Errorf("frame of %d bytes truncated after %d: %w", size, n+frameHeaderSize, err)
	}
	return count, clock, nil
}

// readRecord decodes the next record of a frame.
func (r *Reader) readRecord(f *recordReader) (Record, error) {
	code, instance := f.u16(), f.u16()
	if f.truncated {
		return Record{}, ErrTruncated
	}
	event, err := r.readEvent(code, instance, f)
	if err == nil && f.truncated {
		err = ErrTruncated
	}
	if err != nil {
		return Record{}, fmt.Errorf("event code %d: %w", code, err)
	}
	return Record{Instance: instance, Event: event}, nil
}

// readEvent decodes the part of a record that depends on its event code. For an endpoint table, whose record has the
// table number in place of the instance, it stores the table and returns nil.
func (r *Reader) readEvent(code, instance uint16, f *recordReader) (any, error) {
	switch code {
	case codeEndpointTable:
		return nil, r.readEndpointTable(f, instance)
	case codeInstanceStart:
		seed := f.u64()
		size := f.u32()
		return InstanceStart{Seed: seed, Settings: f.bytes(size)}, nil
	case codeInstanceDown:
		return InstanceDown{}, nil
	case codeEndpointUpdate:
		return r.readEndpointUpdate(f)
	case codeRequest:
		return readRequest(f), nil
	case codeTimer:
		return balance.Timer{Token: f.u64()}, nil
	case codeResponseStarted:
		return readResponseStarted(f), nil
	case codeAttemptResult:
		return r.readAttemptResult(f)
	case codeClientCanceled:
		return balance.ClientCanceled{Request: f.requestID()}, nil
	case codeHealthCheckResult:
		return r.readHealthCheckResult(f)
	case codeGossip:
		sender := int(f.u16())
		size := uint32(f.u16())
		return balance.GossipMessage{Sender: sender, Data: f.bytes(size)}, nil
	default:
		return nil, errors.New("unknown event code")
	}
}

// readEndpointTable decodes an endpoint table and stores it under its number.
func (r *Reader) readEndpointTable(f *recordReader, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("endpoint table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*tableEntrySize > uint64(f.remaining()) {
		return fmt.Errorf("endpoint table of %d entries: %w", n, ErrTruncated)
	}
	endpoints := make([]balance.Endpoint, n)
	for i := range endpoints {
		e, err := readEndpoint(f)
		if err != nil {
			return fmt.Errorf("endpoint table entry %d: %w", i, err)
		}
		endpoints[i] = e
	}
	r.tables[table], r.hasTable[table] = endpoints, true
	return nil
}

// readEndpoint decodes one entry of an endpoint table.
func readEndpoint(f *recordReader) (balance.Endpoint, error) {
	e := balance.Endpoint{StartedAt: f.f64()}
	code := f.u8()
	lifecycle, known := lifecycleCodes[code]
	if !known {
		return e, fmt.Errorf("unknown lifecycle code %d", code)
	}
	e.Lifecycle = lifecycle
	e.ID = f.endpointID()
	e.NominalCapacity = float64(f.f32())
	e.Cell = int(f.u16())
	e.Zone = int(f.u8())
	e.MachineType = int(f.u8())
	return e, nil
}

// readEndpointUpdate decodes an update, whose entries are those of the endpoint table that it names.
func (r *Reader) readEndpointUpdate(f *recordReader) (any, error) {
	code := f.u8()
	f.u32() // generation of the endpoint list, which is not used
	table := f.u16()
	if f.truncated {
		return nil, ErrTruncated
	}
	kind, known := updateCodes[code]
	if !known {
		return nil, fmt.Errorf("unknown endpoint update kind %d", code)
	}
	if kind == balance.WatchFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	if table >= maxTables || !r.hasTable[table] {
		return nil, fmt.Errorf("endpoint table %d has not been sent", table)
	}
	return balance.EndpointUpdate{Kind: kind, Endpoints: r.tables[table]}, nil
}

// readRequest decodes a client's request.
func readRequest(f *recordReader) balance.Request {
	r := balance.Request{ID: f.requestID(), Tenant: int(f.u16())}
	workHint, flags := f.f64(), f.u16()
	if flags&requestHasWorkHint != 0 {
		r.WorkHint = workHint
	}
	r.IsRetry = flags&requestIsRetry != 0
	r.Mutates = flags&requestMutates != 0
	r.AffinityKey = f.u64()
	r.Timeout = f.f64()
	r.Class = int(f.u16())
	return r
}

// readResponseStarted decodes the start of a streamed response.
func readResponseStarted(f *recordReader) balance.ResponseStarted {
	return balance.ResponseStarted{
		Request:  f.requestID(),
		Attempt:  int(f.u8()),
		Endpoint: f.endpointID(),
		Latency:  f.f64(),
	}
}

// readAttemptResult decodes the end of an attempt.
func (r *Reader) readAttemptResult(f *recordReader) (any, error) {
	event := balance.AttemptResult{Request: f.requestID(), Attempt: int(f.u8()), Endpoint: f.endpointID()}
	code := f.u16()
	event.Latency = f.f64()
	event.RequestClosed = f.u8() != 0
	event.LoadReport = r.readLoadReport(f)
	var err error
	event.Result, err = resultOfCode(code, f)
	return event, err
}

// readHealthCheckResult decodes the end of a health check.
func (r *Reader) readHealthCheckResult(f *recordReader) (any, error) {
	event := balance.HealthCheckResult{Latency: f.f64()}
	code := f.u16()
	event.Endpoint = f.endpointID()
	event.LoadReport = r.readLoadReport(f)
	var err error
	event.Result, err = resultOfCode(code, f)
	return event, err
}

// resultOfCode returns the result for a result code. A truncated record causes no error here, because readRecord
// reports the truncation.
func resultOfCode(code uint16, f *recordReader) (balance.Result, error) {
	res, known := resultCodes[code]
	if !known && !f.truncated {
		return 0, fmt.Errorf("unknown result code %d", code)
	}
	return res, nil
}

// readLoadReport decodes the values of a load report. The returned slice is valid until the next record is read.
func (r *Reader) readLoadReport(f *recordReader) []float32 {
	r.reportBuffer = r.reportBuffer[:0]
	for n := f.u8(); n > 0; n-- {
		r.reportBuffer = append(r.reportBuffer, f.f32())
	}
	return r.reportBuffer
}
