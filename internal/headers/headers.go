// Package headers names the HTTP header fields of the protocol and reads and writes their values.
package headers

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// The header fields between the application, its sidecar and the endpoints.
const (
	TraceID        = "X-Trace-Id"
	Class          = "X-Qos"
	Tenant         = "X-Customer"
	Timeout        = "X-Expires-In"
	IdempotencyKey = "Idempotency-Key"
	Retry          = "X-Second-Try"
	WorkHint       = "X-Size-Hint"
	NotExecuted    = "X-Never-Ran"
	LoadReport     = "Endpoint-Load-Metrics"
)

const maxTimeout = 1e12 // in the unit given

// FormatTimeout writes a timeout in milliseconds as the value of a Timeout field.
func FormatTimeout(ms float64) string { return strconv.FormatInt(int64(ms*1000), 10) + "u" }

// ParseTimeout reads the value of a Timeout field, such as 480m (milliseconds) or 1500u (microseconds), and returns
// milliseconds.
func ParseTimeout(text string) (ms float64, err error) {
	invalid := fmt.Errorf("%s: %q", Timeout, text)
	digits, unit := strings.TrimRight(text, "mu"), 1.0
	switch text {
	case digits + "m":
	case digits + "u":
		unit = 1e-3
	default:
		return 0, invalid
	}
	value, err := strconv.ParseFloat(digits, 64)
	if err != nil || strings.Trim(digits, ".0123456789") != "" || !(value > 0) || value > maxTimeout {
		return 0, invalid
	}
	return value * unit, nil
}

// ParseLoadReport reads a load report such as "TEXT name=value, name=value". The values come in the order of the
// fields, NaN where one is missing; names that are not among the fields are skipped. It returns nil if there is no
// value.
func ParseLoadReport(text string, fields []string) []float32 {
	var report []float32
	words := strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		i := slices.Index(fields, name)
		v, err := strconv.ParseFloat(value, 32)
		if i < 0 || err != nil {
			continue
		}
		if report == nil {
			report = slices.Repeat([]float32{float32(math.NaN())}, len(fields))
		}
		report[i] = float32(v)
	}
	return report
}
