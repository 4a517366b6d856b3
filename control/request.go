package control

import "slices"

// request is a request that has not been answered yet, or has an attempt in flight.
type request struct {
	id              string
	class           *class
	tenant          int
	key             string
	arrivedAtMS     float64
	deadlineAtMS    float64
	estimatedWorkMS float64 // 0: unknown
	dataset         int
	sequence        int // order of arrival

	attempts           []attempt
	closed             bool // answered, or the client no longer waits
	queued             bool
	streaming          bool // the response has begun
	clientDisconnected bool
}

// attempt is one execution of a request on an engine.
type attempt struct {
	engine             *engine
	startedAtMS        float64
	startedAtLightLoad bool // the engine ran few threads of this gateway
	inFlight           bool // without an outcome so far
	cancelled          bool
	errored            bool
	neverRan           bool
	blockedByLoad      bool // a load of its data set ran on the engine and blocked it
	progress           float64
	progressAtMS       float64 // time of the last progress report
	lastStatusAtMS     float64 // time of the last status report of any kind
}

// inFlight returns the number of attempts without an outcome.
func (r *request) inFlight() (count int) {
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			count++
		}
	}
	return count
}

// errorCount returns the number of attempts that ended in an error.
func (r *request) errorCount() (count int) {
	for i := range r.attempts {
		if r.attempts[i].errored {
			count++
		}
	}
	return count
}

// mayHaveRun reports whether some attempt has run or may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// attempted reports whether the request has had an attempt on the engine.
func (r *request) attempted(e *engine) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.engine == e })
}

// findAttempt returns the request and the attempt that an event refers to, or nil.
func (g *Gateway) findAttempt(ev Event) (*request, *attempt) {
	r := g.requestByID[ev.RequestID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// register adds a new request to the open requests, the retry budget, the requests of its
// key and the demand.
func (g *Gateway) register(r *request) {
	g.nextSequence++
	g.openRequests = append(g.openRequests, r)
	g.requestByID[r.id] = r
	g.retryBudget.arrivals = append(g.retryBudget.arrivals, g.nowMS)
	g.keys.add(r)
	secondaryWorkMS := g.workMS(r)
	if r.class.isDashboard {
		secondaryWorkMS = 0
	}
	g.demand.RecordDemand(secondaryWorkMS, r.tenant)
}

// unregister removes a request that is closed and has no attempt in flight.
func (g *Gateway) unregister(r *request) {
	delete(g.requestByID, r.id)
	g.keys.remove(r)
}

// keyOrder holds the requests of ordered classes by order key.
type keyOrder struct {
	requests map[string][]*request // in order of arrival
	settling map[string]keySettling
}

// keySettling blocks a key after an attempt ended without a clear outcome, as the
// attempt may still be running.
type keySettling struct {
	untilMS float64
	request *request // the request of that attempt; the key is not blocked for it
}

func newKeyOrder() keyOrder {
	return keyOrder{requests: map[string][]*request{}, settling: map[string]keySettling{}}
}

func (k *keyOrder) add(r *request) {
	if r.class.OrderedByKey && r.key != "" {
		k.requests[r.key] = append(k.requests[r.key], r)
	}
}

func (k *keyOrder) remove(r *request) {
	list, ok := k.requests[r.key]
	if !ok || !r.class.OrderedByKey {
		return
	}
	list = slices.DeleteFunc(list, func(other *request) bool { return other == r })
	if len(list) == 0 {
		delete(k.requests, r.key)
		return
	}
	k.requests[r.key] = list
}

// first returns the first request of a key that is open or has an attempt in flight,
// nil if there is none.
func (k *keyOrder) first(key string) *request {
	for _, r := range k.requests[key] {
		if !r.closed || r.inFlight() > 0 {
			return r
		}
	}
	return nil
}

// mayRun reports whether the order of its key allows the request to run at nowMS.
func (k *keyOrder) mayRun(r *request, nowMS float64) bool {
	if !r.class.OrderedByKey || r.key == "" {
		return true
	}
	if k.first(r.key) != r {
		return false
	}
	settling, ok := k.settling[r.key]
	return !ok || settling.request == r || nowMS > settling.untilMS
}
