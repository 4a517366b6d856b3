package membership

import "math"

// The defaults of a Damper.
const (
	defaultMinStableMS       = 3000
	defaultMaxStableMS       = 300_000
	defaultPenaltyHalfLifeMS = 60_000
)

// Damper decides which listed members are included in the division of work. A
// view may change and change back within seconds, but each change of the subsets
// and quotas that are derived from it costs connections. So the included members
// follow the view with a delay, which grows with the number of times that a member
// flaps. Each failure adds 1 to a member's penalty, which halves every
// PenaltyHalfLifeMS. A member is included again once it has been alive for
// MinStableMS, doubled for each unit of the penalty, but MaxStableMS at most.
//
// Without a quorum all listed members are included, as without a view. With a
// quorum, nothing changes while the view has not converged: if one side of a
// partition took over the other side's work, the load on engines that both sides
// reach would double.
type Damper struct {
	MinStableMS       float64 // time in a state after which a member is included or excluded
	MaxStableMS       float64 // upper bound of the time for a member with a penalty
	PenaltyHalfLifeMS float64
	included          []bool // by number
	flaps             []flapState
}

// flapState is the recent history of one member.
type flapState struct {
	alive       bool
	sinceMS     float64 // time of the last change of alive
	penalty     float64 // value at penaltyAtMS
	penaltyAtMS float64 // time of the last failure
}

// NewDamper returns a damper for a list of the given size, with all members
// included.
func NewDamper(size int) *Damper {
	d := &Damper{
		MinStableMS:       defaultMinStableMS,
		MaxStableMS:       defaultMaxStableMS,
		PenaltyHalfLifeMS: defaultPenaltyHalfLifeMS,
		included:          make([]bool, size),
		flaps:             make([]flapState, size),
	}
	for i := range size {
		d.included[i] = true
		d.flaps[i].alive = true
	}
	return d
}

// Included returns, by number, whether each member is included. The caller must
// not modify the slice.
func (d *Damper) Included() []bool { return d.included }

// Observe applies the view's present states and reports whether the included
// members have changed. It must be called about once a second.
func (d *Damper) Observe(nowMS float64, v *View) (changed bool) {
	converged := v.Converged()
	quorum := v.HasQuorum()
	for i := range d.flaps {
		flap := &d.flaps[i]
		state := v.State(i)
		d.recordAlive(flap, nowMS, state == Alive || state == Suspect)
		include := d.included[i]
		if !quorum {
			include = true
		} else if converged {
			include = d.shouldInclude(flap, nowMS, include)
		}
		if include != d.included[i] {
			d.included[i] = include
			changed = true
		}
	}
	return changed
}

// recordAlive records whether a member is alive, and adds to its penalty if it has
// failed since the last call.
func (d *Damper) recordAlive(flap *flapState, nowMS float64, alive bool) {
	if alive == flap.alive {
		return
	}
	if !alive {
		flap.penalty = flap.penaltyAt(nowMS, d.PenaltyHalfLifeMS) + 1
		flap.penaltyAtMS = nowMS
	}
	flap.alive = alive
	flap.sinceMS = nowMS
}

// shouldInclude reports whether a member should be included from now on. included says
// whether it has been included so far.
func (d *Damper) shouldInclude(flap *flapState, nowMS float64, included bool) bool {
	if !flap.alive {
		return included && nowMS < flap.sinceMS+d.MinStableMS
	}
	stableMS := d.MinStableMS
	if penalty := flap.penaltyAt(nowMS, d.PenaltyHalfLifeMS); penalty > 0 {
		stableMS = min(d.MaxStableMS, stableMS*math.Exp2(penalty))
	}
	return included || nowMS >= flap.sinceMS+stableMS
}

// penaltyAt returns the penalty as decayed at a time.
func (f *flapState) penaltyAt(nowMS, halfLifeMS float64) float64 {
	return f.penalty * math.Exp2(-(nowMS-f.penaltyAtMS)/halfLifeMS)
}
