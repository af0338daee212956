package simwire

import (
	"encoding/binary"
	"io"
	"math"

	"pebblelift/balance"
)

// The action codes of records in replies. Event codes in the simulator's frames overlap with action codes.
const (
	codeStartAttempt  = 1000 // action code of balance.StartAttempt
	codeReject        = 1010 // action code of balance.Reject
	codeFail          = 1020 // action code of balance.Fail
	codeCancelAttempt = 1030 // action code of balance.CancelAttempt
	codeSetTimer      = 1040 // action code of balance.SetTimer
	codeHealthCheck   = 1050 // action code of balance.HealthCheck
	codeCloseIdle     = 1060 // action code of balance.CloseIdle
	codeSendGossip    = 1070 // action code of balance.SendGossip
	codeLog           = 1080 // action code of balance.Log
	codeFault         = 1090 // action code of a fault; see Reply.AddFault
	codeWatch         = 1100 // action code of balance.Watch
	codeFetch         = 1110 // action code of balance.Fetch
)

const (
	allPeersCode   = 0xffffffff // peer index in a gossip action that stands for all other sidecars
	maxTextSize    = 0xffff     // largest size in bytes of a text or gossip message; a longer one is truncated
	watchModeDelta = 1          // watch mode in which discovery sends changes instead of whole lists
)

// emptyReply is a reply without actions: the four bytes of the length, which WriteTo fills in.
var emptyReply = []byte{0, 0, 0, 0}

// Reply collects the actions that answer one frame. Reset must be called before the first use.
type Reply struct{ buf []byte }

// Reset removes all actions from the reply.
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
		r.appendAction(instance, &actions[i])
	}
}

// AddFault appends the report that an instance failed. The text says why.
func (r *Reply) AddFault(instance uint16, text string) {
	r.appendHeader(codeFault, instance)
	r.appendText([]byte(text))
}

// appendAction appends one action of an instance.
func (r *Reply) appendAction(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.StartAttempt:
		r.appendHeader(codeStartAttempt, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.Deadline)
		r.appendEndpointID(a.Endpoint)
	case balance.Reject:
		r.appendHeader(codeReject, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.Delay)
	case balance.Fail:
		r.appendHeader(codeFail, instance)
		r.appendUint64(uint64(a.Request))
	case balance.CancelAttempt:
		r.appendHeader(codeCancelAttempt, instance)
		r.appendUint64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.appendHeader(codeSetTimer, instance)
		r.appendUint64(a.Token)
		r.appendFloat64(a.Delay)
	case balance.HealthCheck:
		r.appendHeader(codeHealthCheck, instance)
		r.appendEndpointID(a.Endpoint)
	case balance.CloseIdle:
		r.appendHeader(codeCloseIdle, instance)
		r.appendEndpointID(a.Endpoint)
	case balance.SendGossip:
		r.appendHeader(codeSendGossip, instance)
		peer := uint32(allPeersCode)
		if a.Peer != balance.AllPeers {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.appendText(a.Data)
	case balance.Log:
		r.appendHeader(codeLog, instance)
		r.appendText([]byte(a.Text))
	case balance.Watch:
		r.appendHeader(codeWatch, instance)
		r.buf = append(r.buf, watchModeDelta)
	case balance.Fetch:
		r.appendHeader(codeFetch, instance)
	}
}

// appendHeader appends the action code and the instance, with which each action begins.
func (r *Reply) appendHeader(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) appendUint64(v uint64)   { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) appendFloat64(v float64) { r.appendUint64(math.Float64bits(v)) }

// appendEndpointID appends an endpoint's ID as four bytes of address and two bytes of port.
func (r *Reply) appendEndpointID(id balance.EndpointID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

// appendText appends a length of two bytes and the text, which is truncated to maxTextSize bytes.
func (r *Reply) appendText(b []byte) {
	if len(b) > maxTextSize {
		b = b[:maxTextSize]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
