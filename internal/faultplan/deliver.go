package faultplan

import (
	"math/rand/v2"
	"slices"
)

// maxDuplicateDelayMS bounds the delay of the second copy of a duplicated datagram.
const maxDuplicateDelayMS = 50

// Delivery is one copy of a datagram that reaches its receiver.
type Delivery struct {
	DelayMS float64
	Message []byte
}

// Deliver returns the copies that arrive of a datagram that one process sends to
// another at nowMS, or nil if the datagram is lost. It does not modify the message.
func (t Timeline) Deliver(rng *rand.Rand, nowMS float64, from, to int, message []byte) []Delivery {
	copies := []Delivery{{Message: message}}
	for i := range t.Faults {
		f := &t.Faults[i]
		if !f.isActive(nowMS) || f.Kind.IsProcessFault() {
			continue
		}
		selected := rng.Float64() < f.Rate
		if f.drops(from, to, selected) {
			return nil
		}
		first := &copies[0]
		switch {
		case f.Kind == PacketDelay:
			first.DelayMS += f.DelayMS * rng.Float64()
		case !selected:
		case f.Kind == PacketReordering:
			first.DelayMS += f.DelayMS
		case f.Kind == PacketDuplication:
			copies = append(copies, Delivery{DelayMS: first.DelayMS + maxDuplicateDelayMS*rng.Float64(), Message: message})
		case f.Kind == PacketCorruption && len(message) > 0:
			first.Message = corrupted(rng, message)
		}
	}
	return copies
}

// drops reports whether the fault, which is active, drops a datagram. selected tells
// whether the random draw by the fault's rate selected this datagram.
func (f *Fault) drops(from, to int, selected bool) bool {
	fromTarget := slices.Contains(f.Targets, from)
	toTarget := slices.Contains(f.Targets, to)
	switch f.Kind {
	case PacketLoss:
		return selected
	case OneWayPartition:
		return fromTarget && !toTarget
	case Partition:
		return fromTarget != toTarget
	case PairPartition:
		return fromTarget && toTarget
	default:
		return false
	}
}

// corrupted returns a copy of a message that is truncated or has one byte changed.
func corrupted(rng *rand.Rand, message []byte) []byte {
	const corruptionsPerCut = 4
	damaged := slices.Clone(message)
	if rng.IntN(corruptionsPerCut) == 0 {
		return damaged[:rng.IntN(len(damaged))]
	}
	damaged[rng.IntN(len(damaged))] ^= byte(1 + rng.IntN(255))
	return damaged
}
