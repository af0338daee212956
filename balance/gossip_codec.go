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
//	        u8  the number of endpoints that the sender uses
//	        u8  the number of responses that the sender got since its previous message
//	        u8  the mean latency of these responses, in 1/latencyUnitsPerObjective of the latency objective
//	        u8  the lowest mean latency that the sender knows of, in the same unit
//	entry   u16 the endpoint's tag, see gossipTag
//	        u8  bit fields: the sender's requests in flight at the endpoint (high four bits), whether the
//	            endpoint responded after failures (respondedFlag), whether a connection attempt failed
//	            (unreachableFlag), the number of failures (low two bits)
//
// There is an entry for each endpoint at which the sender has requests in flight, or that failed or recovered
// since the sender's previous message. Messages of other versions are dropped.
const (
	// gossipVersion is the version of the gossip encoding, the first byte of each gossip message. Messages
	// of other versions are dropped.
	gossipVersion = 3

	// gossipHeaderSize is the size, in bytes, of the header of a gossip message, which comes before the
	// entries.
	gossipHeaderSize = 9

	// gossipEntrySize is the size, in bytes, of each entry of a gossip message. An entry is about one
	// endpoint.
	gossipEntrySize = 3

	// maxGossipSize is the size, in bytes, of the largest gossip message that the protocol permits. Entries
	// that do not fit are left out of a message, and a larger message is dropped.
	maxGossipSize = 256

	// maxAnnouncedInFlight is the largest number of the sender's requests in flight at an endpoint that a
	// gossip entry can state, in a field of four bits. A larger number is stated as maxAnnouncedInFlight.
	maxAnnouncedInFlight = 15

	// inFlightShift is the position, in bits, of the sender's requests in flight in the last byte of a
	// gossip entry. The field takes the bits from this position upwards.
	inFlightShift = 4

	// respondedFlag is the bit in the last byte of a gossip entry that says that, since the sender's previous
	// message, the endpoint has responded to the sender after failures.
	respondedFlag = 8

	// unreachableFlag is the bit in the last byte of a gossip entry that says that, since the sender's
	// previous message, a connection attempt of the sender to the endpoint has failed.
	unreachableFlag = 4

	// maxAnnouncedFailures is the largest number of the sender's failures at an endpoint that a gossip
	// entry can state; a larger number is stated as maxAnnouncedFailures. It is also the bit mask of the
	// field, which takes the bits below unreachableFlag in the last byte of the entry.
	maxAnnouncedFailures = unreachableFlag - 1
)

var (
	errGossipSize    = errors.New("gossip message has an invalid size")
	errGossipVersion = errors.New("gossip message has an unsupported version")
)

// gossipHeader is the part of a gossip message about its sender.
type gossipHeader struct {
	clock      uint32 // the sender's clock, in ms modulo 2^32
	subsetSize uint8  // number of endpoints that the sender uses
	latency    latencyReport
}

// gossipEntry is the part of a gossip message about one endpoint.
type gossipEntry struct {
	tag         uint16      // see gossipTag
	inFlight    int         // the sender's requests in flight at the endpoint
	observation observation // what the sender saw of the endpoint since its previous message
}

// appendGossipHeader appends the encoded header of a message to data.
func appendGossipHeader(data []byte, h gossipHeader) []byte {
	data = append(data, gossipVersion)
	data = binary.BigEndian.AppendUint32(data, h.clock)
	return append(data, h.subsetSize, h.latency.samples, h.latency.mean, h.latency.baseline)
}

// appendGossipEntry appends an encoded entry to data. The entry's inFlight must not exceed
// maxAnnouncedInFlight; more failures than maxAnnouncedFailures are encoded as maxAnnouncedFailures.
func appendGossipEntry(data []byte, entry gossipEntry) []byte {
	bits := uint8(entry.inFlight)<<inFlightShift |
		uint8(math.Min(entry.observation.failures, maxAnnouncedFailures))
	if entry.observation.responded {
		bits |= respondedFlag
	}
	if entry.observation.unreachable {
		bits |= unreachableFlag
	}
	data = binary.BigEndian.AppendUint16(data, entry.tag)
	return append(data, bits)
}

// parseGossip checks a message's size and version and splits it into its header and its encoded entries.
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

// parseGossipEntry decodes the first of the encoded entries.
func parseGossipEntry(entries []byte) gossipEntry {
	bits := entries[2]
	return gossipEntry{
		tag:      binary.BigEndian.Uint16(entries),
		inFlight: int(bits >> inFlightShift),
		observation: observation{
			failures:    float64(bits & maxAnnouncedFailures),
			responded:   bits&respondedFlag != 0,
			unreachable: bits&unreachableFlag != 0,
		},
	}
}

// gossipTag returns a short hash of an endpoint's ID, which identifies the endpoint in messages. All sidecars
// get the same tag, because all know the endpoint by the same ID.
func gossipTag(id EndpointID) uint16 { return uint16(mix64(uint64(id))) }
