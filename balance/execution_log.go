package balance

// executionLogTTL, in ms, is how long a request is remembered. It exceeds by far the longest time in which a
// client repeats a request that it has given up.
const executionLogTTL = 10 * 60 * 1000.0

// ExecutionLog remembers requests that may have been executed and must not be executed again. It holds a
// limited number of them and forgets the oldest first, so that no client can make it grow.
type ExecutionLog struct {
	limit   int
	entries []executionEntry   // the oldest first, from position first on
	first   int                // position of the oldest entry
	expires map[uint64]float64 // when the newest entry of a request expires, in ms
}

// executionEntry is one remembered request.
type executionEntry struct {
	request uint64  // hash of the request's ID
	expires float64 // ms
}

// NewExecutionLog returns a log of at most the given number of requests.
func NewExecutionLog(limit int) *ExecutionLog {
	return &ExecutionLog{limit: max(1, limit), expires: map[uint64]float64{}}
}

// Add remembers a request, given by a hash of its ID, from now (ms) on.
func (l *ExecutionLog) Add(now float64, request uint64) {
	l.expire(now)
	if len(l.entries)-l.first >= l.limit {
		l.removeOldest()
	}
	entry := executionEntry{request: request, expires: now + executionLogTTL}
	l.entries = append(l.entries, entry)
	l.expires[request] = entry.expires
}

// Contains reports whether a request may have been executed, as far as the log remembers at now (ms).
func (l *ExecutionLog) Contains(now float64, request uint64) bool {
	l.expire(now)
	_, found := l.expires[request]
	return found
}

// Len returns the number of remembered requests.
func (l *ExecutionLog) Len() int { return len(l.expires) }

// expire forgets the entries that have expired.
func (l *ExecutionLog) expire(now float64) {
	for l.first < len(l.entries) && now >= l.entries[l.first].expires {
		l.removeOldest()
	}
}

// removeOldest forgets the oldest entry. It moves the others to the front once half of the places are free.
func (l *ExecutionLog) removeOldest() {
	oldest := l.entries[l.first]
	l.first++
	if l.expires[oldest.request] == oldest.expires {
		delete(l.expires, oldest.request)
	}
	if l.first > len(l.entries)/2 {
		rest := copy(l.entries, l.entries[l.first:])
		l.entries = l.entries[:rest]
		l.first = 0
	}
}
