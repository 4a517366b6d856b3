// Package faultplan generates timelines of faults from a seed and defines the effect
// of each fault on processes and on the datagrams between them. The same timeline
// runs on real processes (internal/faulttest) and on packages without I/O over a
// simulated network (internal/membershipsim). The package reads no clock: times are
// in ms from the start of a timeline.
//
//   - faultplan.go: faults and timelines
//   - generate.go: random timelines
//   - deliver.go: the effect of a timeline on a datagram
package faultplan

import (
	"fmt"
	"strings"
)

// Kind is the kind of a fault.
type Kind int

// The kinds of faults: network faults come first, then process faults.
const (
	PacketLoss        Kind = iota // a fraction, Rate, of the datagrams is lost
	PacketDelay                   // each datagram is delayed by up to DelayMS
	PacketDuplication             // a fraction, Rate, of the datagrams arrives twice
	PacketReordering              // a fraction, Rate, is delayed by DelayMS and overtaken by others
	PacketCorruption              // a fraction, Rate, of the datagrams has a byte changed or is truncated
	OneWayPartition               // no datagram from Targets reaches the other processes
	Partition                     // no datagram passes between Targets and the other processes
	PairPartition                 // no datagram passes between the two Targets
	ProcessKill                   // SIGKILL, and a new process when the fault ends
	ProcessPause                  // SIGSTOP, and SIGCONT when the fault ends
	ProcessTerminate              // SIGTERM, and a new process when the fault ends
	MassKill                      // ProcessKill of most processes at once
	kindCount         = iota
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [kindCount]string{
		PacketLoss:        "packet loss",
		PacketDelay:       "packet delay",
		PacketDuplication: "packet duplication",
		PacketReordering:  "packet reordering",
		PacketCorruption:  "packet corruption",
		OneWayPartition:   "one-way partition",
		Partition:         "partition",
		PairPartition:     "pair partition",
		ProcessKill:       "process kill",
		ProcessPause:      "process pause",
		ProcessTerminate:  "process terminate",
		MassKill:          "mass kill",
	}
	if k < 0 || k >= kindCount {
		return fmt.Sprintf("unknown kind %d", int(k))
	}
	return names[k]
}

// IsProcessFault reports whether faults of this kind affect processes rather than
// the network.
func (k Kind) IsProcessFault() bool { return k >= ProcessKill }

// hasTargets reports whether faults of this kind affect certain processes or the
// network around them.
func (k Kind) hasTargets() bool { return k >= OneWayPartition }

// Fault is a fault that is in effect from StartMS on, for DurationMS.
type Fault struct {
	Kind       Kind
	StartMS    float64
	DurationMS float64
	Targets    []int   // indexes of processes
	Rate       float64 // fraction of the datagrams that are affected
	DelayMS    float64
}

// isActive reports whether the fault is in effect at nowMS.
func (f *Fault) isActive(nowMS float64) bool {
	return nowMS >= f.StartMS && nowMS < f.StartMS+f.DurationMS
}

// String describes the fault on one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%6.0f to %6.0f ms  %-18v", f.StartMS, f.StartMS+f.DurationMS, f.Kind)
	if len(f.Targets) > 0 {
		s += fmt.Sprintf(" of %v", f.Targets)
	}
	if f.Rate > 0 {
		s += fmt.Sprintf(" of %.0f%%", f.Rate*100)
	}
	if f.DelayMS > 0 {
		s += fmt.Sprintf(" by %.0f ms", f.DelayMS)
	}
	return s
}

// Timeline is a list of faults, ordered by their start.
type Timeline struct {
	Seed   uint64
	Size   int // number of processes
	Faults []Fault
}

// String describes the timeline, one fault per line.
func (t Timeline) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d processes\n", t.Seed, t.Size)
	for _, f := range t.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// End returns the time at which the last fault ends, in ms.
func (t Timeline) End() float64 {
	end := 0.0
	for _, f := range t.Faults {
		end = max(end, f.StartMS+f.DurationMS)
	}
	return end
}
