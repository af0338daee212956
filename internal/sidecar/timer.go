package sidecar

import "container/heap"

// timer is a timer of the balancer or the deadline of an attempt.
type timer struct {
	due     float64  // clock time in ms
	token   uint64   // the balancer's token, if attempt is nil
	attempt *attempt // the attempt whose deadline this is; nil for a timer of the balancer
}

// timerHeap is a heap of timers, ordered by due time with the earliest first.
type timerHeap []timer

func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// removeNext removes the timer that is due next and returns it.
func (h *timerHeap) removeNext() timer { return heap.Pop(h).(timer) }

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{} // lets the garbage collector free the attempt
	*h = old[:len(old)-1]
	return t
}
