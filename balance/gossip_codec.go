package balance

import (
	"encoding/binary"
	"errors"
	"math"
)

// The encoding of a gossip message, big-endian:
//
//	header  u8  version
//	        u32 the sender's clock in milliseconds, modulo 2^32
//	        u8  how many endpoints the sender uses
//	        u8  how many responses it had since its last message
//	        u8  their mean latency, in latencyUnitsPerObjective
//	        u8  the least mean latency that it knows of, likewise
//	entry   u16 the endpoint's tag, see gossipTag
//	        u8  the sender's requests in flight there (high four bits), whether it responded
//	            (respondedFlag), whether a connection failed (unreachableFlag) and how often it failed
//	            (low two bits)
//
// There is an entry for each endpoint at which the sender has requests, or that failed or came back since its
// last message. Messages of other versions are dropped.
const (
	gossipVersion        = 3
	gossipHeaderSize     = 9
	gossipEntrySize      = 3
	maxGossipSize        = 256 // bytes, by the protocol
	maxAnnounced         = 15  // requests in flight that an entry can hold
	inFlightShift        = 4
	respondedFlag        = 8
	unreachableFlag      = 4
	maxAnnouncedFailures = unreachableFlag - 1
)

var (
	errGossipSize    = errors.New("gossip message of invalid size")
	errGossipVersion = errors.New("gossip message of another version")
)

// gossipHeader is the part of a message on its sender.
type gossipHeader struct {
	clock      uint32
	subsetSize uint8
	latency    latencyReport
}

// gossipEntry is the part of a message on one endpoint.
type gossipEntry struct {
	tag      uint16
	inFlight int
	seen     observation
}

func appendGossipHeader(data []byte, h gossipHeader) []byte {
	data = append(data, gossipVersion)
	data = binary.BigEndian.AppendUint32(data, h.clock)
	return append(data, h.subsetSize, h.latency.samples, h.latency.mean, h.latency.baseline)
}

func appendGossipEntry(data []byte, entry gossipEntry) []byte {
	bits := uint8(entry.inFlight)<<inFlightShift | uint8(math.Min(entry.seen.failures, maxAnnouncedFailures))
	if entry.seen.responded {
		bits |= respondedFlag
	}
	if entry.seen.unreachable {
		bits |= unreachableFlag
	}
	data = binary.BigEndian.AppendUint16(data, entry.tag)
	return append(data, bits)
}

// parseGossip splits a message into its header and the bytes of its entries.
func parseGossip(data []byte) (h gossipHeader, entries []byte, err error) {
	if len(data) < gossipHeaderSize || len(data) > maxGossipSize ||
		(len(data)-gossipHeaderSize)%gossipEntrySize != 0 {
		return h, nil, errGossipSize
	}
	if data[0] != gossipVersion {
		return h, nil, errGossipVersion
	}
	h.clock = binary.BigEndian.Uint32(data[1:])
	h.subsetSize = data[5]
	h.latency = latencyReport{samples: data[6], mean: data[7], baseline: data[8]}
	return h, data[gossipHeaderSize:], nil
}

// parseGossipEntry reads the first of the entries.
func parseGossipEntry(entries []byte) gossipEntry {
	bits := entries[2]
	return gossipEntry{
		tag:      binary.BigEndian.Uint16(entries),
		inFlight: int(bits >> inFlightShift),
		seen: observation{
			failures:    float64(bits & maxAnnouncedFailures),
			responded:   bits&respondedFlag != 0,
			unreachable: bits&unreachableFlag != 0,
		},
	}
}

// gossipTag names an endpoint in messages; endpoint IDs are the same at every sidecar.
func gossipTag(id EndpointID) uint16 { return uint16(mix64(uint64(id))) }
