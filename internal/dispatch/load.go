package dispatch

// ClassCounts counts the open requests of a class.
type ClassCounts struct {
	Queued   int `json:"Held"`    // no attempt is in flight
	InFlight int `json:"Out"`     // an attempt is in flight
	Overdue  int `json:"Overdue"` // of both, past their latency objective
}

// OpenRequests returns how many requests owe an answer.
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

// objectiveAtMS returns when a request's latency objective ends.
func (d *Dispatcher) objectiveAtMS(r *request) float64 {
	class := &d.settings.Classes[r.Class]
	return r.ArrivedAtMS + class.LatencyObjectiveMS + class.ObjectiveSlope*r.WorkMS/float64(max(1, class.Threads))
}

// EngineCounts returns how many engines are in the endpoint list, and how many of
// them the decisions avoid.
func (d *Dispatcher) EngineCounts() (listed, avoided int) { return d.gateway.EngineCounts() }
