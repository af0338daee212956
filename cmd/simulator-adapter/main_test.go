package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// The codes of records in the simulator's frames. An event and an action may have the same code.
const (
	eventEndpointTable  uint16 = 1000
	eventRequest        uint16 = 1010
	eventTimer          uint16 = 1020
	eventEndpointUpdate uint16 = 1040
	eventInstanceDown   uint16 = 1060
	eventInstanceStart  uint16 = 1070

	actionStartAttempt uint16 = 1000
	actionSetTimer     uint16 = 1040
	actionFault        uint16 = 1090
)

// The sizes of action records in bytes.
const (
	startAttemptSize = 26 // size of a record that starts an attempt, in bytes
	setTimerSize     = 20 // size of a record that sets a timer, in bytes
)

// inputBuilder builds the adapter's input.
type inputBuilder struct{ bytes.Buffer }

// frame appends a frame with the given records.
func (input *inputBuilder) frame(clock float64, records ...[]byte) {
	size := 16
	for _, r := range records {
		size += len(r)
	}
	binary.Write(input, binary.BigEndian, []uint32{uint32(len(records)), uint32(size)})
	binary.Write(input, binary.BigEndian, clock)
	for _, r := range records {
		input.Write(r)
	}
}

// record encodes fields in big-endian order.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, field := range fields {
		binary.Write(&b, binary.BigEndian, field)
	}
	return b.Bytes()
}

const testSettings = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

func instanceStart(instance uint16, seed uint64, settings string) []byte {
	return record(eventInstanceStart, instance, seed, uint32(len(settings)), []byte(settings))
}

// endpointTable returns table 0 with n endpoints that are ready.
func endpointTable(n int) []byte {
	table := record(eventEndpointTable, uint16(0), uint32(n))
	for i := range n {
		entry := record(0.0, uint8(0), uint32(i+1), uint16(80), float32(1), uint16(i), uint8(0), uint8(0))
		table = append(table, entry...)
	}
	return table
}

// cachedSnapshot returns an update with the endpoints of table 0.
func cachedSnapshot(instance uint16) []byte {
	return record(eventEndpointUpdate, instance, uint8(1), uint32(1), uint16(0))
}

func requestEvent(instance uint16, id uint64) []byte {
	return record(eventRequest, instance, id, uint16(0), 0.0, uint16(0), uint64(0), 1500.0, uint16(0))
}

// mustRun runs the adapter on an input and returns its replies.
func mustRun(t *testing.T, input *inputBuilder) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&input.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// countAttempts returns the number of attempts started by each instance. The replies must hold only attempts and
// timers.
func countAttempts(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	attempts := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[4:size]; len(actions) > 0; {
			switch code := binary.BigEndian.Uint16(actions); code {
			case actionStartAttempt:
				attempts[binary.BigEndian.Uint16(actions[2:])]++
				actions = actions[startAttemptSize:]
			case actionSetTimer:
				actions = actions[setTimerSize:]
			default:
				t.Fatalf("unexpected action code %d", code)
			}
		}
		replies = replies[size:]
	}
	return attempts
}

// The actions of an instance do not depend on the other instances of its process.
func TestActionsAreIndependentOfOtherInstances(t *testing.T) {
	runInstances := func(instances ...uint16) []byte {
		input := &inputBuilder{}
		var first [][]byte
		for _, i := range instances {
			first = append(first, instanceStart(i, uint64(i)*7, testSettings), endpointTable(5), cachedSnapshot(i))
		}
		input.frame(1000, first...)
		for id := range uint64(60) {
			for _, i := range instances {
				input.frame(1001+float64(id), requestEvent(i, id))
			}
		}
		return mustRun(t, input)
	}
	together := runInstances(1, 2, 3)
	for _, i := range []uint16{1, 2, 3} {
		alone := runInstances(i)
		n, m := countAttempts(t, together)[i], countAttempts(t, alone)[i]
		if n != 60 || m != 60 {
			t.Fatalf("instance %d started %d attempts together with others and %d alone, want 60", i, n, m)
		}
		if !bytes.Equal(actionsOf(together, i), actionsOf(alone, i)) {
			t.Fatalf("instance %d acts differently together with others and alone", i)
		}
	}
}

// actionsOf returns the attempts and timers of one instance. The replies must hold only attempts and timers.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[4:size]; len(actions) > 0; {
			n := setTimerSize
			if binary.BigEndian.Uint16(actions) == actionStartAttempt {
				n = startAttemptSize
			}
			if binary.BigEndian.Uint16(actions[2:]) == instance {
				out = append(out, actions[:n]...)
			}
			actions = actions[n:]
		}
		replies = replies[size:]
	}
	return out
}

// An instance can go down and start again within one frame. A timer that its earlier run had set is ignored.
func TestRestartWithinAFrame(t *testing.T) {
	input := &inputBuilder{}
	input.frame(1000,
		instanceStart(1, 7, testSettings),
		endpointTable(3),
		cachedSnapshot(1),
		requestEvent(1, 5),
		record(eventInstanceDown, uint16(1)),
		instanceStart(1, 8, testSettings),
		cachedSnapshot(1),
		requestEvent(1, 6))
	input.frame(1001, record(eventTimer, uint16(1), uint64(5))) // the timer of request 5 in the earlier run
	if n := countAttempts(t, mustRun(t, input)); n[1] != 2 {
		t.Fatalf("%d attempts, want one in each run", n[1])
	}
}

// Invalid settings are reported to the simulator as a fault with the reason.
func TestInvalidSettingsAreReported(t *testing.T) {
	input := &inputBuilder{}
	input.frame(1000, instanceStart(1, 7, `{"classes": []}`), endpointTable(1), cachedSnapshot(1))
	out := mustRun(t, input)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != actionFault || !strings.Contains(string(out), "no classes") {
		t.Fatalf("reply %q, want a fault that says no classes", out)
	}
}

// An event for an instance that was not started and an invalid clock end the adapter with an error and without a reply.
func TestInvalidInputEndsTheAdapter(t *testing.T) {
	notStarted := &inputBuilder{}
	notStarted.frame(1000, requestEvent(4, 1))
	invalidClock := &inputBuilder{}
	invalidClock.frame(math.Inf(1))
	for name, in := range map[string]*inputBuilder{"instance not started": notStarted, "invalid clock": invalidClock} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(&in.Buffer, &out); err == nil || out.Len() > 0 {
				t.Errorf("error %v and %d bytes of reply, want an error and no reply", err, out.Len())
			}
		})
	}
}

// Malformed frames end the adapter with an error and without a reply. The end of the input is not an error.
func TestUnreadableFramesEndTheAdapter(t *testing.T) {
	valid := &inputBuilder{}
	valid.frame(1000, instanceStart(1, 7, testSettings), endpointTable(3), cachedSnapshot(1))
	truncated := append([]byte(nil), valid.Bytes()[:valid.Len()-5]...)
	oversized := append([]byte(nil), valid.Bytes()...)
	binary.BigEndian.PutUint32(oversized[4:], 1<<31)
	unknownCode := &inputBuilder{}
	unknownCode.frame(1000, record(uint16(77), uint16(1)))
	excessiveCount := &inputBuilder{}
	excessiveCount.frame(1000, record(eventEndpointTable, uint16(0), uint32(math.MaxUint32)))
	for name, in := range map[string][]byte{
		"truncated":            truncated,
		"oversized":            oversized,
		"unknown code":         unknownCode.Bytes(),
		"count past the frame": excessiveCount.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(bytes.NewReader(in), &out); err == nil || out.Len() > 0 {
				t.Errorf("error %v and %d bytes of reply, want an error and no reply", err, out.Len())
			}
		})
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(nil), &out); err != nil || out.Len() > 0 {
		t.Errorf("empty input: error %v and %d bytes of reply, want neither", err, out.Len())
	}
}

// Invalid settings fault only their own instance; the other instances of the process continue.
func TestInvalidSettingsLeaveOtherInstancesAlone(t *testing.T) {
	input := &inputBuilder{}
	input.frame(1000,
		instanceStart(1, 7, `{"classes": 5}`),
		instanceStart(2, 7, testSettings),
		endpointTable(2),
		cachedSnapshot(1),
		cachedSnapshot(2),
		requestEvent(1, 5),
		requestEvent(2, 6))
	out := mustRun(t, input)
	if binary.BigEndian.Uint16(out[4:]) != actionFault || binary.BigEndian.Uint16(out[6:]) != 1 {
		t.Fatalf("reply %x, want a fault of instance 1", out)
	}
	textSize := int(binary.BigEndian.Uint16(out[8:]))
	rest := binary.BigEndian.AppendUint32(nil, uint32(len(out)-6-textSize))
	rest = append(rest, out[10+textSize:]...)
	if n := countAttempts(t, rest); n[2] != 1 || n[1] != 0 {
		t.Fatalf("attempts by instance %v, want one of instance 2 only", n)
	}
}
