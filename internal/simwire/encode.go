package simwire

import (
	"encoding/binary"
	"io"
	"math"

	"pebblelift/balance"
)

// Action codes.
const (
	codeStartAttempt  = 1000
	codeReject        = 1010
	codeFail          = 1020
	codeCancelAttempt = 1030
	codeSetTimer      = 1040
	codeHealthCheck   = 1050
	codeCloseIdle     = 1060
	codeSendGossip    = 1070
	codeLog           = 1080
	codeFault         = 1090
	codeWatch         = 1100
	codeFetch         = 1110
)

const (
	allPeersCode = 0xffffffff
	maxTextSize  = 0xffff
	watchChanges = 1 // rather than the whole list each time
)

// emptyReply is a reply of no actions, with room for its length.
var emptyReply = []byte{0, 0, 0, 0}

// Reply gathers the actions that answer one frame.
type Reply struct{ buf []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], emptyReply...) }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.add(instance, &actions[i])
	}
}

// Fault reports that an instance's balancer failed.
func (r *Reply) Fault(instance uint16, text string) {
	r.header(codeFault, instance)
	r.text([]byte(text))
}

func (r *Reply) add(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.StartAttempt:
		r.header(codeStartAttempt, instance)
		r.u64(uint64(a.Request))
		r.f64(a.Deadline)
		r.endpointID(a.Endpoint)
	case balance.Reject:
		r.header(codeReject, instance)
		r.u64(uint64(a.Request))
		r.f64(a.Delay)
	case balance.Fail:
		r.header(codeFail, instance)
		r.u64(uint64(a.Request))
	case balance.CancelAttempt:
		r.header(codeCancelAttempt, instance)
		r.u64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.header(codeSetTimer, instance)
		r.u64(a.Token)
		r.f64(a.Delay)
	case balance.HealthCheck:
		r.header(codeHealthCheck, instance)
		r.endpointID(a.Endpoint)
	case balance.CloseIdle:
		r.header(codeCloseIdle, instance)
		r.endpointID(a.Endpoint)
	case balance.SendGossip:
		r.header(codeSendGossip, instance)
		peer := uint32(allPeersCode)
		if a.Peer != balance.AllPeers {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.text(a.Data)
	case balance.Log:
		r.header(codeLog, instance)
		r.text([]byte(a.Text))
	case balance.Watch:
		r.header(codeWatch, instance)
		r.buf = append(r.buf, watchChanges)
	case balance.Fetch:
		r.header(codeFetch, instance)
	}
}

func (r *Reply) header(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) endpointID(id balance.EndpointID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

func (r *Reply) text(b []byte) {
	if len(b) > maxTextSize {
		b = b[:maxTextSize]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
