package headers

import "testing"

// The values of a load report are returned in the order of the configured fields: NaN where a value is missing, and
// unknown names are skipped. A header field without any usable value is no load report.
func TestParseLoadReport(t *testing.T) {
	fields := []string{"busy", "rate", "q"}
	report := ParseLoadReport("TEXT rate=12.5, new=3, busy=0.61, q=", fields)
	if len(report) != 3 || report[0] != 0.61 || report[1] != 12.5 || report[2] == report[2] {
		t.Errorf("load report %v, want [0.61 12.5 NaN]", report)
	}
	for _, text := range []string{"", "TEXT", "TEXT other=1", "busy", "=", "busy=x"} {
		if report := ParseLoadReport(text, fields); report != nil {
			t.Errorf("%q: load report %v, want none", text, report)
		}
	}
}
