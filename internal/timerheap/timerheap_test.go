package timerheap

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

func TestEmptyQueue(t *testing.T) {
	var q Queue[string]
	if q.Len() != 0 || !math.IsInf(q.NextDueMS(), 1) {
		t.Errorf("%d timers, the next due at %v", q.Len(), q.NextDueMS())
	}
	if value, ok := q.PopDue(math.Inf(1)); ok {
		t.Errorf("%q is due", value)
	}
}

func TestPopDue(t *testing.T) {
	var q Queue[string]
	q.Add(20, "second")
	q.Add(10, "first")
	q.Add(20, "third")
	if value, ok := q.PopDue(9.5); ok {
		t.Errorf("%q is due before its time", value)
	}
	if q.NextDueMS() != 10 || q.Len() != 3 {
		t.Errorf("%d timers, the next due at %v", q.Len(), q.NextDueMS())
	}
	var got []string
	for {
		value, ok := q.PopDue(20)
		if !ok {
			break
		}
		got = append(got, value)
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestOrder checks that PopDue returns timers by due time, then in the order in which
// they were added, for any sequence of Add and PopDue.
func TestOrder(t *testing.T) {
	type added struct {
		dueMS    float64
		sequence int
	}
	byDue := func(a, b added) int {
		return cmp.Or(cmp.Compare(a.dueMS, b.dueMS), cmp.Compare(a.sequence, b.sequence))
	}
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[added]
		var pending []added
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				timer := added{float64(rapid.IntRange(0, 9).Draw(t, "dueMS")), i}
				pending = append(pending, timer)
				q.Add(timer.dueMS, timer)
				continue
			}
			nowMS := float64(rapid.IntRange(0, 9).Draw(t, "nowMS"))
			got, ok := q.PopDue(nowMS)
			slices.SortFunc(pending, byDue)
			if due := len(pending) > 0 && pending[0].dueMS <= nowMS; ok != due {
				t.Fatalf("PopDue found a due timer: %v, want %v", ok, due)
			}
			if !ok {
				continue
			}
			if got != pending[0] {
				t.Fatalf("%+v, want %+v", got, pending[0])
			}
			pending = pending[1:]
		}
		if q.Len() != len(pending) {
			t.Fatalf("%d timers, want %d", q.Len(), len(pending))
		}
	})
}
