package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"pebblelift/balance"
)

// decodeHex decodes hexadecimal text and ignores white space in the text.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads all frames of the input. It returns their records and the clock of the last frame with records, in ms.
func readAll(r *Reader) ([]Record, float64, error) {
	var records []Record
	var lastClock float64
	for {
		err := r.Read(func(clock float64, rec Record) error {
			records = append(records, rec)
			lastClock = clock
			return nil
		})
		if err == io.EOF {
			return records, lastClock, nil
		}
		if err != nil {
			return records, lastClock, err
		}
	}
}

// The example frames of the protocol's documentation. emptyFrame has no records. eventsFrame has a request, a timer and
// a canceled client. updateFrame has an endpoint table and an update that refers to the table. resultFrame has the
// result of an attempt.
const (
	emptyFrame  = "00000000 00000010 40c06e2000000000"
	eventsFrame = `00000003 00000052 40c06e2000000000
		03f2 0003 0002978f5d3a91c4 0000 4028000000000000 0001 91f03b7c55d20a64 406e000000000000 0000
		03fc 0003 000000000000004d
		044c 0005 000b677a0e6f2b19`
	updateFrame = `00000002 00000051 40c06e2000000000
		03e8 0000 00000002
		0000000000000000 00 0a124a07 232b 3f800000 0000 00 00
		40b7d40000000000 00 0a9011f2 2354 3fc00000 0000 01 00
		0410 0003 01 00000029 0000`
	resultFrame = `00000001 0000002f 40c06e2000000000
		0442 0003 0002978f5d3a91c4 00 0a124a07 232b 0000 4032800000000000 01 00`
)

// The reader decodes the example frames of the protocol's documentation to the documented values.
func TestReaderDecodesDocumentedExamples(t *testing.T) {
	in := decodeHex(t, emptyFrame+eventsFrame+updateFrame+resultFrame)
	records, clock, err := readAll(NewReader(bytes.NewReader(in)))
	if err != nil {
		t.Fatal(err)
	}
	if clock != 8412.25 || len(records) != 5 {
		t.Fatalf("clock %v, %d records, want 8412.25 and 5", clock, len(records))
	}
	request, ok := records[0].Event.(balance.Request)
	wantRequest := balance.Request{ID: 0x2978f5d3a91c4, WorkHint: 12, AffinityKey: 0x91f03b7c55d20a64, Timeout: 240}
	if !ok || request != wantRequest || records[0].Instance != 3 {
		t.Errorf("request: %+v, want %+v of instance 3", records[0], wantRequest)
	}
	if event := records[1].Event; event != any(balance.Timer{Token: 77}) {
		t.Errorf("timer: %+v, want token 77", event)
	}
	wantCanceled := balance.ClientCanceled{Request: 0xb677a0e6f2b19}
	if records[2].Event != any(wantCanceled) || records[2].Instance != 5 {
		t.Errorf("canceled client: %+v, want %+v of instance 5", records[2], wantCanceled)
	}
	update := records[3].Event.(balance.EndpointUpdate)
	if update.Kind != balance.CachedSnapshot || len(update.Endpoints) != 2 {
		t.Fatalf("endpoint update: %+v, want a cached snapshot of 2 endpoints", update)
	}
	second := balance.Endpoint{ID: 0x0a9011f22354, StartedAt: 6100, NominalCapacity: 1.5, Zone: 1}
	if update.Endpoints[0].ID != 0x0a124a07232b || update.Endpoints[1] != second {
		t.Errorf("endpoints: %+v, want the second %+v", update.Endpoints, second)
	}
	result := records[4].Event.(balance.AttemptResult)
	if result.Request != 0x2978f5d3a91c4 || result.Endpoint != 0x0a124a07232b || result.Latency != 18.5 ||
		!result.RequestClosed || result.Result != balance.OK {
		t.Errorf("attempt result: %+v", result)
	}
}

// A reply is encoded as in the examples of the protocol's documentation.
func TestReplyEncodesDocumentedExamples(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []balance.Action{
		{Kind: balance.StartAttempt, Request: 0x2978f5d3a91c4, Deadline: 8492, Endpoint: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, Delay: 500},
	})
	r.Add(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	r.Add(3, []balance.Action{{Kind: balance.SendGossip, Peer: -1, Data: []byte("hi 7")}})
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000057
		03e8 0003 0002978f5d3a91c4 40c0960000000000 0a124a07232b
		0410 0003 000000000000004d 407f400000000000
		0438 0005 0011 74776f2073657276657273206b6e6f776e
		042e 0003 ffffffff 0004 68692037`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

// The reader returns an error for a malformed frame.
func TestMalformedFrames(t *testing.T) {
	for name, frame := range map[string]string{
		"truncated header":           "00000000 0000",
		"length below header":        "00000000 0000000f 40c06e2000000000",
		"length past the end":        "00000001 00000050 40c06e2000000000 03fc",
		"oversized frame":            "00000001 ffffffff 40c06e2000000000",
		"clock not a number":         "00000000 00000010 7ff8000000000000",
		"unknown code":               "00000001 00000014 40c06e2000000000 ffff 0003",
		"truncated record":           "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"trailing bytes":             "00000000 00000012 40c06e2000000000 0000",
		"count past the end":         "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past the end":      "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"unknown table":              "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
		"table out of range":         "00000001 00000018 40c06e2000000000 03e8 0010 00000000",
		"unknown update kind":        "00000001 0000001b 40c06e2000000000 0410 0003 07 00000001 0000",
		"unknown result":             strings.Replace(resultFrame, "232b 0000", "232b 0055", 1),
		"fewer records than claimed": strings.Replace(resultFrame, "00000001", "00000002", 1),
	} {
		records, _, err := readAll(NewReader(bytes.NewReader(decodeHex(t, frame))))
		if err == nil {
			t.Errorf("%s: no error, records %+v", name, records)
		}
	}
}

// FuzzReader checks that no input makes the reader panic and that input shorter than a frame header is an error. CI
// runs only the seed corpus, as an ordinary test.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, updateFrame, resultFrame, eventsFrame + updateFrame} {
		f.Add(decodeHex(f, frame))
	}
	f.Add(decodeHex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		records, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < frameHeaderSize {
			t.Fatalf("%d bytes, less than a frame header, were read as %d records", len(in), len(records))
		}
	})
}
