package faulttest

import (
	"sync"
	"syscall"
	"time"

	"dewhill/internal/faultplan"
)

// partitionDurationMS is longer than any test, so that a partition lasts until Heal.
const partitionDurationMS = 1e9

// RunTimeline injects the faults of a timeline and returns when the last fault has ended.
func (f *Fleet) RunTimeline(timeline faultplan.Timeline) {
	f.t.Logf("%v", timeline)
	startedAt := time.Now()
	f.relays.current.Store(&timelineRun{timeline, startedAt})
	defer f.Heal()
	var running sync.WaitGroup
	for _, fault := range timeline.Faults {
		running.Go(func() {
			time.Sleep(time.Until(startedAt.Add(milliseconds(fault.StartMS))))
			f.Record("fault begins: %v", fault)
			f.beginFault(fault)
			time.Sleep(time.Until(startedAt.Add(milliseconds(fault.StartMS + fault.DurationMS))))
			f.Record("fault ends: %v", fault)
			f.endFault(fault)
		})
	}
	running.Wait()
}

// beginFault begins a process fault. The relays apply network faults.
func (f *Fleet) beginFault(fault faultplan.Fault) {
	switch fault.Kind {
	case faultplan.ProcessKill, faultplan.MassKill:
		f.signalAll(fault.Targets, syscall.SIGKILL)
	case faultplan.ProcessTerminate:
		f.signalAll(fault.Targets, syscall.SIGTERM)
	case faultplan.ProcessPause:
		f.signalAll(fault.Targets, syscall.SIGSTOP)
	default: // a network fault
	}
}

// endFault ends a process fault.
func (f *Fleet) endFault(fault faultplan.Fault) {
	switch fault.Kind {
	case faultplan.ProcessPause:
		f.signalAll(fault.Targets, syscall.SIGCONT)
	case faultplan.ProcessKill, faultplan.MassKill, faultplan.ProcessTerminate:
		for _, i := range fault.Targets {
			f.StartProcess(f.Fronts[i])
		}
	default: // a network fault
	}
}

// signalAll sends a signal to several front ends concurrently. If the signal ends the
// processes, it returns when all of them have ended.
func (f *Fleet) signalAll(indexes []int, signal syscall.Signal) {
	var pending sync.WaitGroup
	for _, i := range indexes {
		pending.Go(func() { f.Signal(f.Fronts[i], signal) })
	}
	pending.Wait()
}

// Partition separates the target front ends from the others until Heal is called. It
// replaces all network faults.
func (f *Fleet) Partition(targets ...int) {
	fault := faultplan.Fault{Kind: faultplan.Partition, DurationMS: partitionDurationMS, Targets: targets}
	f.relays.current.Store(&timelineRun{faultplan.Timeline{Faults: []faultplan.Fault{fault}}, time.Now()})
}

// Heal ends all network faults.
func (f *Fleet) Heal() { f.relays.current.Store(nil) }
