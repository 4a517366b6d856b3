package server

const (
	maxRecentIDs     = 16384
	recentIDMaxAgeMS = 60000.0
)

// recentIDs holds the request ids that were accepted recently, so that no id is accepted
// twice. It removes ids older than recentIDMaxAgeMS, and the oldest ones if it has more
// than maxRecentIDs.
type recentIDs struct {
	accepted map[string]bool
	order    []recentID // oldest first
}

// recentID is a request id and the time at which it was accepted.
type recentID struct {
	id           string
	acceptedAtMS float64
}

func newRecentIDs() recentIDs { return recentIDs{accepted: map[string]bool{}} }

// contains reports whether an id was accepted recently.
func (r *recentIDs) contains(id string) bool { return r.accepted[id] }

// add adds an id that is accepted now, and removes old ids.
func (r *recentIDs) add(id string, nowMS float64) {
	r.accepted[id] = true
	r.order = append(r.order, recentID{id: id, acceptedAtMS: nowMS})
	for len(r.order) > maxRecentIDs || r.order[0].acceptedAtMS < nowMS-recentIDMaxAgeMS {
		delete(r.accepted, r.order[0].id)
		r.order = r.order[1:]
	}
}
