package control

import (
	"fmt"
	"strconv"
	"testing"
)

// Places for open requests that stand still are given to new ones: dashboards
// too late for any worth are ended first, unsafe work that is out never, and
// nothing while places are left.
func TestPlacesAreFreed(t *testing.T) {
	settings := Settings{Gateways: 1, Tick: 5, TryLimit: 5, MayCancel: true, Kinds: []Kind{{Cores: 400}},
		Classes: []Class{{Aim: 300, Deadline: 9000, Worth: 1, Threads: 1},
			{Aim: 300, Deadline: 9000, Worth: 6, Threads: 2, Effect: Unsafe, Load: true}}}
	for _, places := range []int{0, 100} {
		settings.MaxOpen = places
		g := New(settings, 1)
		g.Handle(0, Event{Kind: ListWhole, Engines: []EngineInfo{{ID: "a"}, {ID: "b"}}})
		out := map[string]int{}
		ended := map[string]bool{}
		do := func(now float64, ev Event) {
			for _, a := range g.Handle(now, ev) {
				switch a.Kind {
				case Send:
					out[a.Req]++
				case Refuse, Fail:
					ended[a.Req] = true
				}
			}
		}
		for i := range 99 {
			class := 0
			if i%9 == 0 {
				class = 1
			}
			do(float64(i), Event{Kind: Arrived, Req: fmt.Sprint(i), Class: class, GiveUpAt: 9000, Work: 50, Dataset: i})
		}
		// Some are answered, so that places have earned something.
		for i := 1; i < 9; i++ {
			do(110, Event{Kind: Ended, Req: fmt.Sprint(i), Result: Served, Elapsed: 90, Done: true})
		}
		for now := 125.0; now < 700; now += 25 {
			do(now, Event{Kind: TimerDue, Timer: "sweep"})
		}
		want := 0
		if places > 0 {
			want = 99 - 8 - int(openMost*float64(places))
		}
		if len(ended) != want {
			t.Errorf("%d places: %d requests ended, want %d", places, len(ended), want)
		}
		for id := range ended {
			if i, _ := strconv.Atoi(id); i%9 == 0 && out[id] > 0 {
				t.Errorf("request %s was ended though it is out and must not run again", id)
			}
		}
	}
}
