package server

import (
	"testing"

	"dewhill/control"
)

// Urgent events run before all other posted events, so that handling a client's disconnect
// does not wait for the events queued before it.
func TestPostUrgent(t *testing.T) {
	l := newEventLoop("t", control.Settings{}, 1)
	var order []string
	for _, name := range []string{"a", "b"} {
		l.Post(func() { order = append(order, name) })
	}
	l.PostUrgent(func() { order = append(order, "urgent") })
	l.run(func() bool { return len(order) == 3 })
	if order[0] != "urgent" || order[1] != "a" {
		t.Errorf("events ran in the order %q, want the urgent one first", order)
	}
}
