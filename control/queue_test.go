package control

import (
	"fmt"
	"slices"
	"testing"
)

func TestQueueIsFirstComeAndPassesBlockedWork(t *testing.T) {
	s := oneGateway()
	s.Classes[1].EngineKinds = []int{1} // no engine of this kind exists
	s.Classes = append(s.Classes, Class{LatencyObjectiveMS: 9000, ObjectiveSlope: 2, PriorityWeight: 5, Threads: 2})
	tr := newScenario(t, s, engines("a")...)
	for i := range 6 {
		tr.arrive(fmt.Sprint("bound", i), 1, 900, 19000)
		tr.arrive(fmt.Sprint("free", i), 3, 900, 19000)
	}
	tr.arrive("short", 0, 50, 2000)
	tr.nowMS += 50
	for i := range 6 {
		if slices.ContainsFunc(tr.starts, func(a Action) bool { return a.RequestID == fmt.Sprint("free", i) }) {
			tr.endAttempt(fmt.Sprint("free", i), Served)
		}
	}
	want := []string{"free0", "free1", "free2", "free3", "short", "free4", "free5"}
	if got := startedOrder(tr.starts); !slices.Equal(got, want) {
		t.Errorf("attempts started for %v, want %v", got, want)
	}
}

func TestOneFinalResponseByDeadline(t *testing.T) {
	tr := newScenario(t, oneGateway()) // without engines
	tr.arrive("short", 0, 50, 2000)
	tr.arrive("long", 1, 500, 4000)
	tr.arrive("hopeless", 0, 50, 3) // a client's last attempt, with less time left than a sweep interval
	tr.advance(9000)                // the rule checker checks the time of each final response
	if len(tr.finals) != 3 {
		t.Errorf("%d final responses, want 3", len(tr.finals))
	}
}
