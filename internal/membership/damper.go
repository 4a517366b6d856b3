package membership

import "math"

// The defaults of a Damper.
const (
	defaultMinStableMS       = 3000
	defaultMaxStableMS       = 300_000
	defaultPenaltyHalfLifeMS = 60_000
)

// Damper decides which listed members are included in the division of work. A
// view may change within seconds and back again; what is derived from it (subsets,
// quotas) costs connections, so it follows slowly, and the more slowly the more
// often a member flaps: each failure adds a penalty, which decays by half in
// PenaltyHalfLifeMS, and a member is included again once it has been alive for
// MinStableMS, doubled for each penalty, MaxStableMS at most.
//
// Without a quorum all listed members are included, as without a view, and while
// the view has not converged nothing changes: one side of a partition that took
// over the other's work would double the load on engines that both reach.
type Damper struct {
	MinStableMS       float64
	MaxStableMS       float64
	PenaltyHalfLifeMS float64
	included          []bool
	flaps             []flapState
}

// flapState is the recent history of one member.
type flapState struct {
	alive       bool
	sinceMS     float64
	penalty     float64 // at penaltyAtMS
	penaltyAtMS float64
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

// Included returns, by number, which members are included. The slice belongs to
// the damper.
func (d *Damper) Included() []bool { return d.included }

// Observe applies the view's present states and reports whether the included
// members have changed. It is to be called about once a second.
func (d *Damper) Observe(nowMS float64, v *View) (changed bool) {
	converged := v.Converged()
	quorum := v.SeesQuorum()
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

// recordAlive notes whether a member is alive, and a penalty if it has failed.
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

// shouldInclude reports whether a member is to be included, given that it is now.
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

// penaltyAt returns the decayed penalty.
func (f *flapState) penaltyAt(nowMS, halfLifeMS float64) float64 {
	return f.penalty * math.Exp2(-(nowMS-f.penaltyAtMS)/halfLifeMS)
}
