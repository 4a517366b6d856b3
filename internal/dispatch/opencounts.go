package dispatch

// ClassCounts are the numbers of open requests of a class.
type ClassCounts struct {
	Queued   int `json:"Held"`    // open requests without an attempt in flight
	InFlight int `json:"Out"`     // open requests with an attempt in flight
	Overdue  int `json:"Overdue"` // open requests past their latency objective; also in Queued or InFlight
}

// OpenRequests returns the number of requests that are not closed.
func (d *Dispatcher) OpenRequests() int { return d.openCount }

// OpenByClass counts the open requests of each class, in the order of the settings.
func (d *Dispatcher) OpenByClass() []ClassCounts {
	counts := make([]ClassCounts, len(d.settings.Classes))
	for _, r := range d.requests {
		if r.closed {
			continue
		}
		count := &counts[r.Class]
		if r.attemptInFlight() {
			count.InFlight++
		} else {
			count.Queued++
		}
		if d.nowMS > d.objectiveAtMS(r) {
			count.Overdue++
		}
	}
	return counts
}

// objectiveAtMS returns the time by which a request should be answered to meet its
// latency objective.
func (d *Dispatcher) objectiveAtMS(r *request) float64 {
	class := &d.settings.Classes[r.Class]
	return r.ArrivedAtMS + class.LatencyObjectiveMS + class.ObjectiveSlope*r.WorkMS/float64(max(1, class.Threads))
}

// EngineCounts returns the number of engines in the endpoint list, and how many of them
// receive no requests because they are draining, disabled or ejected.
func (d *Dispatcher) EngineCounts() (listed, outOfService int) { return d.gateway.EngineCounts() }
