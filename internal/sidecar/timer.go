package sidecar

import "container/heap"

// timer is one of the balancer's, or the deadline of an attempt.
type timer struct {
	due     float64
	token   uint64
	attempt *attempt // nil: the balancer's
}

// timerHeap holds the timers, the next one first.
type timerHeap []timer

func (h *timerHeap) add(t timer) { heap.Push(h, t) }

func (h *timerHeap) next() timer { return heap.Pop(h).(timer) }

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{} // else it would keep its attempt alive
	*h = old[:len(old)-1]
	return t
}
