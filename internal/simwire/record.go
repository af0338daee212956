package simwire

import (
	"encoding/binary"
	"errors"
	"math"

	"pebblelift/balance"
)

// ErrTruncated is the error of a record that continues past the end of its frame.
var ErrTruncated = errors.New("record runs past the end of the frame")

// recordReader reads values from the records of a frame. A read past the end sets truncated and returns zero.
type recordReader struct {
	data      []byte // records of the frame, without the frame's header
	pos       int    // index in data of the next byte to read
	truncated bool   // a read went past the end of data
}

// remaining returns the number of unread bytes.
func (r *recordReader) remaining() int { return len(r.data) - r.pos }

// bytes returns the next n bytes, or nil if there are fewer.
func (r *recordReader) bytes(n uint32) []byte {
	if uint64(n) > uint64(r.remaining()) {
		r.truncated, r.pos = true, len(r.data)
		return nil
	}
	start := r.pos
	r.pos += int(n)
	return r.data[start:r.pos:r.pos]
}

func (r *recordReader) u8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) u16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) u32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) u64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a float64. A number that is not finite counts as absent and is returned as 0.
func (r *recordReader) f64() float64 {
	v := math.Float64frombits(r.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// f32 reads a float32. A number that is not finite counts as absent and is returned as 0.
func (r *recordReader) f32() float32 {
	v := float64(math.Float32frombits(r.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return float32(v)
}

func (r *recordReader) requestID() balance.RequestID { return balance.RequestID(r.u64()) }

// endpointID reads four bytes of address and two bytes of port and packs them into an ID.
func (r *recordReader) endpointID() balance.EndpointID {
	host := r.u32()
	port := r.u16()
	return balance.EndpointID(uint64(host)<<16 | uint64(port))
}
