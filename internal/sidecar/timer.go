package sidecar

import "container/heap"

// timer is a timer of the balancer or the deadline of an attempt.
type timer struct {
	due     float64  // clock time in ms
	token   uint64   // the balancer's token, if attempt is nil
	attempt *attempt // the attempt whose deadline this is; nil for a timer of the balancer
	index   int      // position in the heap; -1 if it is not there
}

// timerHeap is a heap of timers, ordered by due time with the earliest first.
type timerHeap []*timer

func (h *timerHeap) add(t *timer) { heap.Push(h, t) }

// removeNext removes the timer that is due next and returns it.
func (h *timerHeap) removeNext() *timer { return heap.Pop(h).(*timer) }

// remove removes a timer, unless it has fired or was removed before.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(t any) {
	added := t.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil // lets the garbage collector free the attempt
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
