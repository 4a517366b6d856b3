package control

import (
	"fmt"
	"testing"
)

// The same settings, seed and events give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		list := []EngineInfo{{ID: "a"}, {ID: "b"}, {ID: "c", Kind: 1}}
		tr := newScenario(t, twoEngineKinds(), list...)
		for i := range 200 {
			tr.arrive(fmt.Sprint(i), i%3, 100, 3000)
			tr.advance(7)
		}
		return fmt.Sprint(tr.actions)
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs with the same events gave different actions")
	}
}
