package control

import (
	"cmp"
	"slices"
)

// handleArrival registers and queues a new request. A request of an unknown class, or
// with the ID of a registered request, is ignored.
func (g *Gateway) handleArrival(ev Event) {
	if ev.Class < 0 || ev.Class >= len(g.classes) || g.requestByID[ev.RequestID] != nil {
		return
	}
	r := &request{
		id:              ev.RequestID,
		class:           &g.classes[ev.Class],
		tenant:          ev.Tenant,
		key:             ev.Key,
		arrivedAtMS:     g.nowMS,
		deadlineAtMS:    ev.DeadlineAtMS,
		estimatedWorkMS: ev.WorkMS,
		dataset:         ev.Dataset,
		sequence:        g.nextSequence,
	}
	if r.estimatedWorkMS > 0 {
		r.class.averageWorkMS.add(g.workMS(r))
	}
	g.register(r)
	g.enqueue(r)
	if g.openRequestsCritical() {
		g.shedOpenRequests()
	}
	if g.deadlineIsNear(r) {
		g.endRequest(r, NearDeadline)
	}
}

// deadlineIsNear reports whether the next sweep may be too late to answer the request by
// its deadline. A client's last retry may arrive with as little time left.
func (g *Gateway) deadlineIsNear(r *request) bool {
	return r.deadlineAtMS-g.nowMS <= sweepIntervalMS+2*g.settings.TickMS
}

// enqueue inserts a request into the queue in order of arrival.
func (g *Gateway) enqueue(r *request) {
	if r.queued {
		return
	}
	r.queued = true
	i, _ := slices.BinarySearchFunc(g.queue, r, func(a, b *request) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
	g.queue = slices.Insert(g.queue, i, r)
}

// startQueued starts an attempt of each queued request that some engine can take, in
// order of arrival. The other requests keep their position, and later requests may
// start before them.
func (g *Gateway) startQueued() {
	g.queue = slices.DeleteFunc(g.queue, func(r *request) bool {
		r.queued = !r.closed && (r.clientDisconnected || !g.startAttempt(r, g.engineFor(r)))
		return !r.queued
	})
}

// engineFor returns the engine on which a queued request should start now, nil if
// there is none.
func (g *Gateway) engineFor(r *request) *engine {
	if r.class.isDashboard {
		return g.engineForDashboard(r)
	}
	return g.engineForSecondary(r)
}
