package routingbench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at    time.Time
	order uint64 // order of scheduling, which breaks ties of at
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules a function to run d later.
func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now.Add(d), order: c.count, run: run})
}

// run runs the events that are scheduled before end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}
