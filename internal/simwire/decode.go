// Package simwire translates the simulator's binary frames to the types of package balance and back. It takes no
// decisions.
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

// Event codes.
const (
	codeEndpointTable     = 1000
	codeRequest           = 1010
	codeTimer             = 1020
	codeResponseStarted   = 1030
	codeEndpointUpdate    = 1040
	codeGossip            = 1050
	codeInstanceDown      = 1060
	codeInstanceStart     = 1070
	codeHealthCheckResult = 1080
	codeAttemptResult     = 1090
	codeClientCanceled    = 1100
)

const (
	frameHeaderSize = 16
	tableEntrySize  = 23
	maxFrameSize    = 1 << 28 // far above any batch of the simulator
	maxTables       = 16
)

// The bits of a request record.
const (
	requestHasWorkHint = 1 << iota
	requestIsRetry
	requestMutates
)

var lifecycleCodes = map[uint8]balance.Lifecycle{0: balance.Ready, 1: balance.Removed, 2: balance.Draining}

var updateCodes = map[uint8]balance.UpdateKind{
	0: balance.Snapshot, 1: balance.CachedSnapshot, 2: balance.WatchFailed, 3: balance.Delta,
}

var resultCodes = map[uint16]balance.Result{
	0: balance.OK, 13: balance.ServerError, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Canceled, 9: balance.NotSent,
}

// InstanceStart starts an instance; Settings is the raw settings object.
type InstanceStart struct {
	Seed     uint64
	Settings []byte
}

// InstanceDown says that an instance was killed.
type InstanceDown struct{}

// Record is one event for one instance: an InstanceStart, an InstanceDown or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. Endpoint tables live across frames.
type Reader struct {
	in       io.Reader
	buf      bytes.Buffer
	tables   [maxTables][]balance.Endpoint
	hasTable [maxTables]bool
	report   []float32 // reused for each record
}

// NewReader returns a reader of the frames of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read hands the events of the next frame to handle, in order, with the frame's clock. It returns io.EOF at an end of
// input between frames. Slices in events are valid during the call only.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	count, clock, err := r.readFrame()
	if err != nil {
		return err
	}
	f := recordReader{data: r.buf.Bytes()}
	for i := uint32(0); i < count; i++ {
		at := f.pos + frameHeaderSize
		rec, err := r.record(&f)
		if err == nil && rec.Event != nil {
			err = handle(clock, rec)
		}
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at, err)
		}
	}
	if f.remaining() != 0 {
		return fmt.Errorf("%d bytes after the last of %d records", f.remaining(), count)
	}
	return nil
}

// readFrame reads the next frame's records into the buffer, which grows with what arrives, not with what the header
// claims.
func (r *Reader) readFrame() (count uint32, clock float64, err error) {
	var head [frameHeaderSize]byte
	_, err = io.ReadFull(r.in, head[:])
	if errors.Is(err, io.EOF) {
		return 0, 0, io.EOF
	}
	if err != nil {
		return 0, 0, fmt.Errorf("truncated frame header: %w", err)
	}
	count = binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	clock = math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	if size < frameHeaderSize || size > maxFrameSize {
		return 0, 0, fmt.Errorf("frame length %d: want %d to %d", size, frameHeaderSize, maxFrameSize)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return 0, 0, fmt.Errorf("frame clock is %v", clock)
	}
	r.buf.Reset()
	n, err := io.CopyN(&r.buf, r.in, int64(size-frameHeaderSize))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF is the end between frames
	}
	if err != nil {
		return 0, 0, fmt.Errorf("frame of %d bytes truncated after %d: %w", size, n+frameHeaderSize, err)
	}
	return count, clock, nil
}

func (r *Reader) record(f *recordReader) (Record, error) {
	code, instance := f.u16(), f.u16()
	if f.truncated {
		return Record{}, ErrTruncated
	}
	event, err := r.event(code, instance, f)
	if err == nil && f.truncated {
		err = ErrTruncated
	}
	if err != nil {
		return Record{}, fmt.Errorf("event code %d: %w", code, err)
	}
	return Record{Instance: instance, Event: event}, nil
}

// event returns no event for a record that is a table, whose number stands in place of the instance.
func (r *Reader) event(code, instance uint16, f *recordReader) (any, error) {
	switch code {
	case codeEndpointTable:
		return nil, r.endpointTable(f, instance)
	case codeInstanceStart:
		seed := f.u64()
		size := f.u32()
		return InstanceStart{Seed: seed, Settings: f.bytes(size)}, nil
	case codeInstanceDown:
		return InstanceDown{}, nil
	case codeEndpointUpdate:
		return r.endpointUpdate(f)
	case codeRequest:
		return request(f), nil
	case codeTimer:
		return balance.Timer{Token: f.u64()}, nil
	case codeResponseStarted:
		return responseStarted(f), nil
	case codeAttemptResult:
		return r.attemptResult(f)
	case codeClientCanceled:
		return balance.ClientCanceled{Request: f.requestID()}, nil
	case codeHealthCheckResult:
		return r.healthCheckResult(f)
	case codeGossip:
		sender := int(f.u16())
		size := uint32(f.u16())
		return balance.GossipMessage{Sender: sender, Data: f.bytes(size)}, nil
	default:
		return nil, errors.New("unknown event code")
	}
}

func (r *Reader) endpointTable(f *recordReader, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("endpoint table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*tableEntrySize > uint64(f.remaining()) {
		return fmt.Errorf("%d entries: %w", n, ErrTruncated)
	}
	endpoints := make([]balance.Endpoint, n)
	for i := range endpoints {
		e, err := readEndpoint(f)
		if err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		endpoints[i] = e
	}
	r.tables[table], r.hasTable[table] = endpoints, true
	return nil
}

func readEndpoint(f *recordReader) (balance.Endpoint, error) {
	e := balance.Endpoint{StartedAt: f.f64()}
	code := f.u8()
	lifecycle, known := lifecycleCodes[code]
	if !known {
		return e, fmt.Errorf("unknown lifecycle %d", code)
	}
	e.Lifecycle = lifecycle
	e.ID = f.endpointID()
	e.NominalCapacity = float64(f.f32())
	e.Cell = int(f.u16())
	e.Zone = int(f.u8())
	e.MachineType = int(f.u8())
	return e, nil
}

func (r *Reader) endpointUpdate(f *recordReader) (any, error) {
	code := f.u8()
	f.u32() // the list's generation
	table := f.u16()
	if f.truncated {
		return nil, ErrTruncated
	}
	kind, known := updateCodes[code]
	if !known {
		return nil, fmt.Errorf("unknown list kind %d", code)
	}
	if kind == balance.WatchFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	if table >= maxTables || !r.hasTable[table] {
		return nil, fmt.Errorf("endpoint table %d was never sent", table)
	}
	return balance.EndpointUpdate{Kind: kind, Endpoints: r.tables[table]}, nil
}

func request(f *recordReader) balance.Request {
	r := balance.Request{ID: f.requestID(), Tenant: int(f.u16())}
	workHint, bits := f.f64(), f.u16()
	if bits&requestHasWorkHint != 0 {
		r.WorkHint = workHint
	}
	r.IsRetry = bits&requestIsRetry != 0
	r.Mutates = bits&requestMutates != 0
	r.AffinityKey = f.u64()
	r.Timeout = f.f64()
	r.Class = int(f.u16())
	return r
}

func responseStarted(f *recordReader) balance.ResponseStarted {
	return balance.ResponseStarted{
		Request:  f.requestID(),
		Attempt:  int(f.u8()),
		Endpoint: f.endpointID(),
		Latency:  f.f64(),
	}
}

func (r *Reader) attemptResult(f *recordReader) (any, error) {
	event := balance.AttemptResult{Request: f.requestID(), Attempt: int(f.u8()), Endpoint: f.endpointID()}
	code := f.u16()
	event.Latency = f.f64()
	event.RequestClosed = f.u8() != 0
	event.LoadReport = r.loadReport(f)
	var err error
	event.Result, err = result(code, f)
	return event, err
}

func (r *Reader) healthCheckResult(f *recordReader) (any, error) {
	event := balance.HealthCheckResult{Latency: f.f64()}
	code := f.u16()
	event.Endpoint = f.endpointID()
	event.LoadReport = r.loadReport(f)
	var err error
	event.Result, err = result(code, f)
	return event, err
}

func result(code uint16, f *recordReader) (balance.Result, error) {
	res, known := resultCodes[code]
	if !known && !f.truncated {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return res, nil
}

func (r *Reader) loadReport(f *recordReader) []float32 {
	r.report = r.report[:0]
	for n := f.u8(); n > 0; n-- {
		r.report = append(r.report, f.f32())
	}
	return r.report
}
