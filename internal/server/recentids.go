package server

const (
	maxRecentIDs     = 16384
	recentIDMaxAgeMS = 60000.0
)

// recentIDs remembers the request ids that were accepted lately, so that none is
// accepted twice. Old ones are forgotten, and the oldest where there are too many.
type recentIDs struct {
	accepted map[string]bool
	order    []recentID // oldest first
}

// recentID is an id and when it was accepted.
type recentID struct {
	id           string
	acceptedAtMS float64
}

func newRecentIDs() recentIDs { return recentIDs{accepted: map[string]bool{}} }

// contains reports whether an id was accepted lately.
func (r *recentIDs) contains(id string) bool { return r.accepted[id] }

// add remembers an id that is accepted now, and forgets what is too old.
func (r *recentIDs) add(id string, nowMS float64) {
	r.accepted[id] = true
	r.order = append(r.order, recentID{id: id, acceptedAtMS: nowMS})
	for len(r.order) > maxRecentIDs || r.order[0].acceptedAtMS < nowMS-recentIDMaxAgeMS {
		delete(r.accepted, r.order[0].id)
		r.order = r.order[1:]
	}
}
