// Package headers defines the HTTP header fields of the sidecar protocol, and parses and formats their values.
package headers

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// The names of the header fields that the application, its sidecar and the endpoints exchange.
const (
	TraceID        = "X-Trace-Id"            // in a request: the unique ID of the request
	Class          = "X-Qos"                 // in a request: the name of the request's class
	Tenant         = "X-Customer"            // in a request: the name of the request's tenant
	Timeout        = "X-Expires-In"          // in a request: how long the sender waits for a response, see ParseTimeout
	IdempotencyKey = "Idempotency-Key"       // in a request: the key by which endpoints recognize a repeated request
	Retry          = "X-Second-Try"          // in a request: 1 if the client has sent the same request before
	WorkHint       = "X-Size-Hint"           // in a request: the work that the client expects, in microseconds
	NotExecuted    = "X-Never-Ran"           // in a response: 1 if the endpoint did not execute the request
	LoadReport     = "Endpoint-Load-Metrics" // in a response: the endpoint's load report, see ParseLoadReport
)

// maxTimeout is the largest number that ParseTimeout accepts, whether it is in milliseconds or microseconds.
const maxTimeout = 1e12

// FormatTimeout formats a timeout, given in milliseconds, as the value of a Timeout field in whole microseconds.
func FormatTimeout(ms float64) string { return strconv.FormatInt(int64(ms*1000), 10) + "u" }

// ParseTimeout parses the value of a Timeout field, such as 480m (milliseconds) or 1500u (microseconds), and returns
// the timeout in milliseconds. It returns an error for any other format, and for a number that is not above 0 or
// exceeds maxTimeout.
func ParseTimeout(text string) (ms float64, err error) {
	invalid := fmt.Errorf("%s: %q", Timeout, text)
	digits, millisPerUnit := strings.TrimRight(text, "mu"), 1.0
	switch text {
	case digits + "m":
	case digits + "u":
		millisPerUnit = 1e-3
	default:
		return 0, invalid
	}
	value, err := strconv.ParseFloat(digits, 64)
	if err != nil || strings.Trim(digits, ".0123456789") != "" || !(value > 0) || value > maxTimeout {
		return 0, invalid
	}
	return value * millisPerUnit, nil
}

// ParseLoadReport parses a load report such as "TEXT name=value, name=value". The result holds one value for each of
// the fields, in their order, and NaN for a missing value. Names that are not among the fields are skipped. The result
// is nil if the report has no value of any field.
func ParseLoadReport(text string, fields []string) []float32 {
	var report []float32
	pairs := strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	for _, pair := range pairs {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(fields, name)
		number, err := strconv.ParseFloat(value, 32)
		if i < 0 || err != nil {
			continue
		}
		if report == nil {
			report = slices.Repeat([]float32{float32(math.NaN())}, len(fields))
		}
		report[i] = float32(number)
	}
	return report
}
