package state

import (
	"container/heap"
	"time"
)

// Deadlines is a queue of callbacks ordered by the time at which they are due. It starts no goroutines: its owner
// calls RunDue, and all calls must come from one goroutine.
type Deadlines struct {
	heap deadlineHeap
}

// Deadline is one entry of the queue. It belongs to the caller, and can be set again at any time. The zero value is a
// deadline that is not set.
type Deadline struct {
	at       time.Duration
	callback func()
	slot     int // index in the heap plus 1; 0 = not set
}

// Time returns when the deadline is due, and whether it is set.
func (d *Deadline) Time() (at time.Duration, set bool) { return d.at, d.slot > 0 }

// Set schedules callback for the time at. If d is already set, it is rescheduled.
func (q *Deadlines) Set(d *Deadline, at time.Duration, callback func()) {
	d.at, d.callback = at, callback
	if d.slot > 0 {
		heap.Fix(&q.heap, d.slot-1)
		return
	}
	heap.Push(&q.heap, d)
}

// Clear removes d from the queue if it is set.
func (q *Deadlines) Clear(d *Deadline) {
	if d.slot > 0 {
		heap.Remove(&q.heap, d.slot-1)
		d.callback = nil
	}
}

// Next returns the time at which the first entry is due, and whether there is one.
func (q *Deadlines) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// RunDue calls the callbacks that are due at the time now. It runs at most as many entries as were queued at the call,
// so that a callback that always sets its own deadline again can't keep RunDue from returning.
func (q *Deadlines) RunDue(now time.Duration) {
	for n := len(q.heap); n > 0 && len(q.heap) > 0 && q.heap[0].at <= now; n-- {
		heap.Pop(&q.heap).(*Deadline).callback()
	}
}

// deadlineHeap implements heap.Interface, ordered by time.
type deadlineHeap []*Deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i+1, j+1
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*Deadline)
	*h = append(*h, d)
	d.slot = len(*h)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.slot = 0
	return d
}
