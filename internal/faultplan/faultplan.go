// Package faultplan draws timelines of faults from a seed and determines what each
// does to processes and to the datagrams between them. The same timeline runs on
// real processes (internal/faulttest) and on the pure packages over a simulated
// network (internal/membershipsim). The package reads no clock: times are ms from
// the start of a timeline.
//
//   - faultplan.go: faults and timelines
//   - generate.go: random timelines
//   - deliver.go: the effect on a datagram
package faultplan

import (
	"fmt"
	"strings"
)

// Kind is the kind of a fault.
type Kind int

// The kinds of faults. Those of the network come before those of processes.
const (
	PacketLoss        Kind = iota // Rate of the datagrams is lost
	PacketDelay                   // each datagram is delayed by up to DelayMS
	PacketDuplication             // Rate of the datagrams arrives twice
	PacketReordering              // Rate of the datagrams is delayed by DelayMS, so that others overtake them
	PacketCorruption              // Rate of the datagrams has a byte changed or is cut
	OneWayPartition               // nothing from Targets reaches the others
	Partition                     // nothing passes between Targets and the others
	PairPartition                 // nothing passes between the two Targets
	ProcessKill                   // SIGKILL, and a new process at the end
	ProcessPause                  // SIGSTOP, and SIGCONT at the end
	ProcessTerminate              // SIGTERM, and a new process at the end
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

// IsProcessFault reports whether the fault is one of processes, not of the
// network.
func (k Kind) IsProcessFault() bool { return k >= ProcessKill }

// hasTargets reports whether the fault is one of certain processes, or of the
// network around them.
func (k Kind) hasTargets() bool { return k >= OneWayPartition }

// Fault is one fault: from StartMS on, for DurationMS.
type Fault struct {
	Kind       Kind
	StartMS    float64
	DurationMS float64
	Targets    []int   // processes
	Rate       float64 // fraction of the datagrams that are affected
	DelayMS    float64
}

// isActive reports whether the fault is in effect.
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

// Timeline is a list of faults in the order of their starts.
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

// End returns when the last fault ends.
func (t Timeline) End() float64 {
	end := 0.0
	for _, f := range t.Faults {
		end = max(end, f.StartMS+f.DurationMS)
	}
	return end
}
