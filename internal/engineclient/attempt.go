package engineclient

import (
	"dewhill/control"
	"dewhill/internal/dispatch"
)

const probeTimeoutMS = 250

// StartAttempt sends an attempt of a request to its engine. The class is an index
// into Options.Classes, and work is the request's dispatch.Query. The attempt's
// end is always reported, possibly before StartAttempt returns.
func (p *Pool) StartAttempt(s dispatch.StartAttempt, class int, work any) {
	query, _ := work.(dispatch.Query)
	e := p.engines[s.Engine]
	ex := &exchange{id: s.RequestID, attempt: s.Attempt, startedMS: p.loop.Now(), writeByMS: s.WriteByMS}
	if e == nil || e.removed {
		p.endExchange(ex, control.ConnectFailed)
		return
	}
	c := p.selectConnection(e, s.RequestID)
	if c == nil {
		p.Counters.NoConnection++
		p.endExchange(ex, control.NotSent)
		return
	}
	ex.request = &request{
		id:             s.RequestID,
		class:          p.options.Classes[class],
		idempotencyKey: query.IdempotencyKey,
		deadlineMS:     s.DeadlineAtMS,
		priority:       s.Priority,
		statement:      query.Statement,
	}
	ex.startCommand = command{exchange: ex}
	p.Counters.Requests++
	e.attempts[attemptKey{s.RequestID, s.Attempt}] = ex
	p.openExchange(c, ex)
}

// CancelAttempt cancels an attempt. A request that is not written yet is withdrawn
// and ends at once. Otherwise the attempt's end is reported shortly after the
// cancel command is written, unless a reply arrives first.
func (p *Pool) CancelAttempt(s dispatch.CancelAttempt) {
	ex := p.attempt(s.Engine, s.RequestID, s.Attempt)
	if ex == nil || ex.cancelled || p.withdraw(ex) {
		return
	}
	p.cancel(ex, control.Cancelled)
}

// SetPriority sends an attempt's new priority to its engine.
func (p *Pool) SetPriority(r dispatch.SetPriority) {
	ex := p.attempt(r.Engine, r.RequestID, r.Attempt)
	if ex == nil || !ex.connection.connected || ex.cancelled || ex.acknowledged {
		return
	}
	p.Counters.PriorityChanges++
	p.enqueue(ex.connection, command{line: priorityLine(r.RequestID, r.Priority)})
}

// attempt returns an open attempt, or nil if there is none.
func (p *Pool) attempt(engineID, requestID string, attempt int) *exchange {
	e := p.engines[engineID]
	if e == nil {
		return nil
	}
	return e.attempts[attemptKey{requestID, attempt}]
}

// Probe asks an engine for its load. The probe's end is reported unless the engine
// is not listed or no connection is available.
func (p *Pool) Probe(id string) {
	e := p.engines[id]
	if e == nil || e.removed {
		return
	}
	c := p.selectConnection(e, "")
	if c == nil {
		return
	}
	p.lastProbe++
	p.Counters.Probes++
	ex := &exchange{id: probeID(p.lastProbe), connection: c, startedMS: p.loop.Now(), isProbe: true}
	ex.startCommand = command{line: probeLine(ex.id), exchange: ex}
	p.openExchange(c, ex)
	p.loop.After(probeTimeoutMS, func() {
		if c.exchanges[ex.id] == ex {
			p.endExchange(ex, control.TimedOut)
		}
	})
}
