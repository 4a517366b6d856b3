// Package timerheap provides a queue of timers for an event loop or a simulation. A
// timer is a value that becomes due at a time. Timers are ordered by due time, and those
// with the same due time by the order in which they were added. The package has no clock
// and starts no goroutine: the owner of a queue polls it for timers that are due.
package timerheap

import (
	"container/heap"
	"math"
)

// Queue is a queue of timers. The zero value is an empty queue. It is not safe for
// concurrent use. Add and PopDue take O(log n) time.
type Queue[T any] struct {
	timers   timers[T]
	sequence int // of the last timer that was added
}

// Add adds a timer that is due at dueMS and holds a value.
func (q *Queue[T]) Add(dueMS float64, value T) {
	q.sequence++
	heap.Push(&q.timers, timer[T]{dueMS: dueMS, sequence: q.sequence, value: value})
}

// Len returns the number of timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// NextDueMS returns the due time of the next timer, or infinity if there is none.
func (q *Queue[T]) NextDueMS() float64 {
	if len(q.timers) == 0 {
		return math.Inf(1)
	}
	return q.timers[0].dueMS
}

// PopDue removes the next timer and returns its value, if it is due at nowMS or earlier.
// Otherwise ok is false.
func (q *Queue[T]) PopDue(nowMS float64) (value T, ok bool) {
	if len(q.timers) == 0 || q.timers[0].dueMS > nowMS {
		return value, false
	}
	return heap.Pop(&q.timers).(timer[T]).value, true
}

// timer is a value with its due time.
type timer[T any] struct {
	dueMS    float64
	sequence int
	value    T
}

// timers implements heap.Interface.
type timers[T any] []timer[T]

// Len implements heap.Interface.
func (t timers[T]) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers[T]) Less(i, j int) bool {
	if t[i].dueMS != t[j].dueMS {
		return t[i].dueMS < t[j].dueMS
	}
	return t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timers[T]) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers[T]) Push(x any) { *t = append(*t, x.(timer[T])) }

// Pop implements heap.Interface.
func (t *timers[T]) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer[T]{} // allow the value to be garbage-collected
	*t = (*t)[:last]
	return popped
}
