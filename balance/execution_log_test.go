package balance

import "testing"

// Guards against a second run of a request that comes again, and against a log that a client makes grow with ever new
// requests.
func TestExecutionLogIsBoundedAndExpires(t *testing.T) {
	const limit = 4
	log := NewExecutionLog(limit)
	for request := range uint64(1000) {
		now := float64(request)
		if log.Contains(now, request) {
			t.Fatalf("request %d is known before it ran", request)
		}
		log.Add(now, request)
		if !log.Contains(now, request) || request > 0 && !log.Contains(now, request-1) {
			t.Fatalf("request %d or the one before it is forgotten", request)
		}
		if log.Len() > limit || cap(log.entries) > 4*limit {
			t.Fatalf("%d requests in %d places, want at most %d requests", log.Len(), cap(log.entries), limit)
		}
	}
	log.Add(1000, 999) // extends the time for which the request is remembered
	if lastTTL := 999 + executionLogTTL; !log.Contains(lastTTL, 999) || log.Contains(lastTTL, 998) {
		t.Error("want the request that was added again to be remembered longer than the one before it")
	}
	if log.Contains(1000+executionLogTTL, 999) || log.Len() != 0 {
		t.Errorf("%d requests are remembered after their time, want none", log.Len())
	}
}
