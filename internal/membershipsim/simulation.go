package membershipsim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"dewhill/internal/faultplan"
	"dewhill/internal/membership"
	"dewhill/internal/peer"
	"dewhill/internal/timerheap"
)

const (
	rngStream         = 0x73696d
	defaultMinDelayMS = 1.7
	defaultMaxDelayMS = 31
	startWindowMS     = 1000 // time within which the processes of a fleet start
	port              = 7946
)

// Options configure a run.
type Options struct {
	Seed          uint64
	Size          int     // number of processes
	MinDelayMS    float64 // minimum network delay of a datagram; both delays have defaults if MaxDelayMS is 0
	MaxDelayMS    float64 // maximum network delay of a datagram
	LossRate      float64 // fraction of the datagrams that is lost throughout the run
	Faults        faultplan.Timeline
	Times         membership.Times // zero value: the defaults
	FixedTimeouts bool             // without local health, as a baseline
	SeedCount     int              // > 0: no configured lists; the first SeedCount addresses are seeds
	StartTogether bool             // all processes start at time 0; otherwise within startWindowMS
	// MaxReceiveDelayMS returns the maximum delay with which a process receives
	// datagrams, in addition to the network delay; nil: no additional delay.
	MaxReceiveDelayMS func(process int) float64
	// OnChange is called for each change in each view; nil: no callback.
	OnChange func(s *Simulation, observer int, c membership.Change)
}

// process is the state of a simulated process, without its view.
type process struct {
	startCount int // number of starts so far
	paused     bool
	pending    []event // datagrams received while it is paused
	wakeAtMS   float64 // time of its next timer event
}

// Simulation is a simulated fleet. It is not safe for concurrent use.
type Simulation struct {
	Options Options
	NowMS   float64
	Views   []*membership.View // by process; nil: not running
	RNG     *rand.Rand
	Events  int // number of events handled so far

	processes     []process
	addrs         []netip.AddrPort // by process
	processByAddr map[netip.AddrPort]int
	queue         timerheap.Queue[event]
	endedCounters membership.Counters // of processes that have ended
}

// New returns a simulation whose processes start at time 0 or, unless
// Options.StartTogether is set, within startWindowMS.
func New(options Options) *Simulation {
	if options.MaxDelayMS == 0 {
		options.MinDelayMS = defaultMinDelayMS
		options.MaxDelayMS = defaultMaxDelayMS
	}
	s := &Simulation{
		Options:       options,
		RNG:           rand.New(rand.NewPCG(options.Seed, rngStream)),
		Views:         make([]*membership.View, options.Size),
		processes:     make([]process, options.Size),
		processByAddr: map[netip.AddrPort]int{},
	}
	for i := range options.Size {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
		s.addrs = append(s.addrs, addr)
		s.processByAddr[addr] = i
	}
	for i := range s.processes {
		if options.StartTogether {
			s.StartProcess(i)
		} else {
			s.After(startWindowMS*s.RNG.Float64(), func() { s.StartProcess(i) })
		}
	}
	for _, fault := range options.Faults.Faults {
		s.After(fault.StartMS, func() { s.beginFault(fault) })
		s.After(fault.StartMS+fault.DurationMS, func() { s.endFault(fault) })
	}
	return s
}

// After schedules a call of a function after a time.
func (s *Simulation) After(ms float64, callback func()) {
	s.queue.Add(s.NowMS+ms, event{kind: callbackEvent, callback: callback})
}

// Run handles all events up to a time.
func (s *Simulation) Run(untilMS float64) {
	for {
		dueMS := s.queue.NextDueMS()
		e, ok := s.queue.PopDue(untilMS)
		if !ok {
			break
		}
		s.NowMS = dueMS
		s.Events++
		switch e.kind {
		case callbackEvent:
			e.callback()
		case datagramEvent:
			s.deliver(e)
		case timerEvent:
			if e.startCount == s.processes[e.to].startCount {
				s.fireTimer(e.to)
			}
		}
	}
	s.NowMS = untilMS
}

// RunUntil runs until a condition holds, which it checks at an interval, or until the
// deadline. It returns the time at which it stopped and whether the condition held.
func (s *Simulation) RunUntil(deadlineMS, intervalMS float64, condition func() bool) (atMS float64, held bool) {
	for s.NowMS < deadlineMS {
		s.Run(s.NowMS + intervalMS)
		if condition() {
			return s.NowMS, true
		}
	}
	return s.NowMS, false
}

// name returns the name of a process.
func name(process int) string { return fmt.Sprint("n", process) }

// StartProcess starts a process, unless it is running.
func (s *Simulation) StartProcess(i int) {
	if s.Views[i] != nil {
		return
	}
	options := membership.Options{
		Name:            name(i),
		Self:            i,
		Times:           s.Options.Times,
		FixedTimeouts:   s.Options.FixedTimeouts,
		MaxMessageBytes: peer.MaxDatagramBytes - peer.Overhead,
	}
	if s.Options.SeedCount > 0 {
		options.Self = -1
		options.Addr = s.addrs[i]
		options.Seeds = s.addrs[:s.Options.SeedCount]
		options.Size = s.Options.Size
	} else {
		options.Peers = s.addrs
	}
	s.processes[i].startCount++
	seed := s.Options.Seed<<20 + uint64(i)<<8 + uint64(s.processes[i].startCount)
	s.Views[i] = membership.New(options, seed)
	s.processes[i].wakeAtMS = 0
	s.apply(i, membership.Start{})
}

// KillProcess ends a process without a shutdown.
func (s *Simulation) KillProcess(i int) {
	if v := s.Views[i]; v != nil {
		addCounters(&s.endedCounters, &v.Counters)
	}
	s.Views[i] = nil
	s.processes[i].paused = false
	s.processes[i].pending = nil
}

// PauseProcess pauses a running process. It handles no events until it is resumed.
func (s *Simulation) PauseProcess(i int) { s.processes[i].paused = s.Views[i] != nil }

// ResumeProcess resumes a paused process, which first handles the datagrams received
// during the pause.
func (s *Simulation) ResumeProcess(i int) {
	p := &s.processes[i]
	if !p.paused {
		return
	}
	p.paused = false
	pending := p.pending
	p.pending = nil
	for _, e := range pending {
		s.deliver(e)
	}
	s.fireTimer(i)
}

// beginFault begins a fault of processes. Network faults are ignored here; send
// applies them to each datagram.
func (s *Simulation) beginFault(fault faultplan.Fault) {
	for _, i := range fault.Targets {
		switch fault.Kind {
		case faultplan.ProcessKill, faultplan.MassKill:
			s.KillProcess(i)
		case faultplan.ProcessTerminate:
			if s.Views[i] != nil {
				s.apply(i, membership.ShutdownStarted{})
			}
			s.KillProcess(i)
		case faultplan.ProcessPause:
			s.PauseProcess(i)
		default: // a network fault
		}
	}
}

// endFault ends a fault of processes. Network faults are ignored here.
func (s *Simulation) endFault(fault faultplan.Fault) {
	for _, i := range fault.Targets {
		switch fault.Kind {
		case faultplan.ProcessKill, faultplan.MassKill, faultplan.ProcessTerminate:
			s.StartProcess(i)
		case faultplan.ProcessPause:
			s.ResumeProcess(i)
		default: // a network fault
		}
	}
}

// apply applies an event to a view and carries out the effects.
func (s *Simulation) apply(i int, ev membership.Event) {
	effects := s.Views[i].Apply(s.NowMS, ev)
	if s.Options.OnChange != nil {
		for _, change := range effects.Changes {
			s.Options.OnChange(s, i, change)
		}
	}
	for _, send := range effects.Sends {
		s.send(i, send)
	}
	s.scheduleTimer(i)
}

// scheduleTimer schedules a timer event at the time when a view's timer is due, unless
// an earlier one is already scheduled.
func (s *Simulation) scheduleTimer(i int) {
	p := &s.processes[i]
	next := s.Views[i].NextTimerMS()
	if p.wakeAtMS <= s.NowMS || next < p.wakeAtMS {
		p.wakeAtMS = next
		s.queue.Add(next, event{kind: timerEvent, to: i, startCount: p.startCount})
	}
}

// fireTimer applies TimerFired to a running process's view if its timer is due, and
// otherwise schedules the timer.
func (s *Simulation) fireTimer(i int) {
	v := s.Views[i]
	if v == nil || s.processes[i].paused {
		return
	}
	if v.NextTimerMS() <= s.NowMS {
		s.apply(i, membership.TimerFired{})
	} else {
		s.scheduleTimer(i)
	}
}
