package membership

import (
	"slices"
	"testing"
)

// damperTest is a damper that observes a view of five members.
type damperTest struct {
	damper       *Damper
	view         *View
	incarnations [5]uint32 // of the members, by number
}

// update sets the state of members. Alive begins a new incarnation.
func (d *damperTest) update(state State, numbers ...int) {
	for _, i := range numbers {
		if state == Alive {
			d.incarnations[i]++
		}
		d.view.mergeUpdate(update{number: i, incarnation: d.incarnations[i], state: state})
	}
}

// check has the damper observe the view, as converged, at a time and compares the
// included members.
func (d *damperTest) check(t *testing.T, nowMS float64, want ...bool) {
	t.Helper()
	d.view.nowMS = nowMS
	d.view.agreements = []agreement{{1, nowMS}, {2, nowMS}, {3, nowMS}}
	d.damper.Observe(nowMS, d.view)
	if !slices.Equal(d.damper.Included(), want) {
		t.Errorf("at %.0f ms: included %v, want %v", nowMS, d.damper.Included(), want)
	}
}

// TestDamper checks that the included members follow the converged view with a delay,
// that the delay is longer for a member that flaps, and that all members are included
// without a quorum.
func TestDamper(t *testing.T) {
	d := &damperTest{damper: NewDamper(5), view: startView(5), incarnations: [5]uint32{1, 1, 1, 1, 1}}
	stable := d.damper.MinStableMS
	d.update(Alive, 1, 2, 3, 4)
	d.check(t, 0, true, true, true, true, true)
	d.update(Dead, 4)
	d.check(t, 1000, true, true, true, true, true)
	d.check(t, 1000+stable, true, true, true, true, false)
	d.update(Alive, 4)
	d.check(t, 5000, true, true, true, true, false)
	d.check(t, 5000+stable, true, true, true, true, false) // the penalty delays inclusion
	d.check(t, 5000+2*stable, true, true, true, true, true)
	d.update(Dead, 2, 3, 4)
	d.check(t, 12_000, true, true, true, true, true)
	d.check(t, 12_000+stable, true, true, true, true, true) // two of five are alive: no quorum
	d.update(Alive, 2)
	d.check(t, 16_000+stable, true, true, true, false, false)
}
