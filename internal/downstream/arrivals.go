package downstream

import "time"

// arrivals remembers when the bytes of a connection arrived, for messages that wait behind others.
type arrivals struct {
	received int // bytes since the buffer was empty
	marks    []arrivalMark
}

// arrivalMark says when the last of a number of bytes arrived.
type arrivalMark struct {
	received int
	at       time.Time
}

// maxArrivalMarks limits the marks of a connection. Beyond it, bytes count as arrived with the last marked ones.
const maxArrivalMarks = 16

// add takes note of the arrival of bytes.
func (a *arrivals) add(bytes int, now time.Time) {
	a.received += bytes
	if len(a.marks) < maxArrivalMarks {
		a.marks = append(a.marks, arrivalMark{at: now})
	}
	a.marks[len(a.marks)-1].received = a.received
}

// take returns when the last byte arrived that is not among the remaining ones, and forgets earlier arrivals.
func (a *arrivals) take(remaining int) time.Time {
	if len(a.marks) == 0 {
		return time.Now()
	}
	end := a.received - remaining
	for len(a.marks) > 1 && a.marks[0].received < end {
		a.marks = a.marks[1:]
	}
	return a.marks[0].at
}
