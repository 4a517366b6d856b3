package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
)

// Event is an input of the state machine: Start, TimerFired, MessageReceived or
// ShutdownStarted.
type Event interface{ event() }

type (
	// Start starts the view. It must be the first event.
	Start struct{}
	// TimerFired reports that the time returned by NextTimerMS has been reached.
	TimerFired struct{}
	// MessageReceived is a datagram from the listed member Number or, if Number is
	// negative, from the address From.
	MessageReceived struct {
		Number  int
		From    netip.AddrPort
		Message []byte
	}
	// ShutdownStarted reports that the process is about to end. The view announces
	// this to other members and from then on only replies to messages.
	ShutdownStarted struct{}
)

func (Start) event()           {}
func (TimerFired) event()      {}
func (MessageReceived) event() {}
func (ShutdownStarted) event() {}

// Send is a message that the caller must send in a datagram.
type Send struct {
	To      Peer
	Message []byte
}

// Change is a member with its new state, and its previous state.
type Change struct {
	Member
	Previous State
}

// Effects are the outputs of one event. They are valid until the next event.
type Effects struct {
	Sends   []Send
	Changes []Change
}

// Apply handles an event at a time in ms and does all work that is due. If the time
// is before the previous event's, the previous event's time is used.
func (v *View) Apply(nowMS float64, event Event) *Effects {
	v.effects.Sends = v.effects.Sends[:0]
	v.effects.Changes = v.effects.Changes[:0]
	nowMS = max(nowMS, v.nowMS)
	lateMS := nowMS - v.nextTimerMS
	v.nowMS = nowMS
	v.budget.refill(nowMS, v.options.Times.DatagramsPerSecond)
	if v.started && lateMS > pauseThresholdMS {
		v.handlePause(lateMS)
	}
	switch event := event.(type) {
	case Start:
		v.start()
	case TimerFired: // the work that is due follows
	case MessageReceived:
		v.receive(event)
	case ShutdownStarted:
		v.leave()
	default:
		panic(fmt.Sprintf("membership: unknown event %T", event))
	}
	if v.started && !v.leaving {
		v.runDueWork()
	}
	v.scheduleTimer()
	return &v.effects
}

func (v *View) start() {
	v.started = true
	v.startedAtMS = v.nowMS
	v.setState(v.self, min(max(1, v.options.FirstIncarnation), maxIncarnation/2), Alive, 0)
	v.detector.nextPeriodMS = v.nowMS + v.options.Times.ProbeIntervalMS*v.rng.Float64()
	v.nextReconnectMS = v.nowMS
}

// runDueWork does all work that is due.
func (v *View) runDueWork() {
	v.advanceDueProbes()
	v.nackOverdueRequests()
	v.advanceSuspicions()
	if v.nowMS >= v.detector.nextPeriodMS {
		v.runPeriod()
	}
	if v.nowMS >= v.queue.flushAtMS {
		v.flushGossip()
	}
}

// The length of each period is drawn at random around the probe interval, so that
// front ends that start together do not stay synchronized.
const (
	minPeriodFraction = 0.95
	periodJitter      = 0.1
)

// runPeriod does the work of one probe interval.
func (v *View) runPeriod() {
	v.detector.period++
	v.detector.nextPeriodMS = v.nowMS + v.options.Times.ProbeIntervalMS*(minPeriodFraction+periodJitter*v.rng.Float64())
	if v.detector.period%forgetIntervalPeriods == 0 {
		v.forget()
	}
	v.probeNextMember()
	v.reconnectIfDue()
	v.gossipInPeriod()
}

// scheduleTimer sets the next time at which work is due.
func (v *View) scheduleTimer() {
	if !v.started || v.leaving {
		v.nextTimerMS = math.Inf(1)
		return
	}
	v.nextTimerMS = min(v.detector.nextPeriodMS, v.queue.flushAtMS)
	for _, p := range v.detector.probes {
		v.nextTimerMS = min(v.nextTimerMS, p.nextStepMS)
	}
	if len(v.detector.indirectProbes) > 0 {
		v.nextTimerMS = min(v.nextTimerMS, v.detector.indirectProbes[0].nackAtMS)
	}
	for _, e := range v.suspects {
		v.nextTimerMS = min(v.nextTimerMS, e.suspicion.expiresAtMS, e.suspicion.notifyAtMS)
	}
}

// NextTimerMS returns the time at which TimerFired is due; +Inf if no work is
// scheduled.
func (v *View) NextTimerMS() float64 { return v.nextTimerMS }

// removeEntry removes an entry from a list in place and returns the shorter list.
func removeEntry(list []*entry, e *entry) []*entry {
	return slices.DeleteFunc(list, func(other *entry) bool { return other == e })
}
