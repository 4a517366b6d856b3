package control

import (
	"cmp"
	"slices"
)

// handleArrival queues a new request. One of an unknown class or of an id that is
// known changes nothing.
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

// deadlineIsNear reports whether the next sweep may be too late for an answer. A
// client's last attempt may arrive so.
func (g *Gateway) deadlineIsNear(r *request) bool {
	return r.deadlineAtMS-g.nowMS <= sweepIntervalMS+2*g.settings.TickMS
}

// enqueue puts a request in the queue, by its arrival.
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

// startQueued starts attempts of the queued requests that an engine takes, in
// order of arrival. Those that none takes now keep their place and are passed.
func (g *Gateway) startQueued() {
	g.queue = slices.DeleteFunc(g.queue, func(r *request) bool {
		r.queued = !r.closed && (r.clientDisconnected || !g.startAttempt(r, g.engineFor(r)))
		return !r.queued
	})
}

// engineFor returns the engine that a queued request goes to now, nil if none.
func (g *Gateway) engineFor(r *request) *engine {
	if r.class.isDashboard {
		return g.engineForDashboard(r)
	}
	return g.engineForSecondary(r)
}
