package replication

import (
	"cmp"
	"slices"

	"dewhill/internal/antientropy"
)

// Kind is what a Key names. Its values are part of the wire form.
type Kind byte

// The kinds.
const (
	Engine   Kind = 'e'
	FrontEnd Kind = 'f'
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case FrontEnd:
		return "front end"
	default:
		return "unknown"
	}
}

// Key names an engine or a front end.
type Key struct {
	Kind Kind
	ID   string
}

func (k Key) hash() uint64 { return antientropy.HashString(string([]byte{byte(k.Kind)}) + k.ID) }

// Dot identifies a write by the process of a front end that made it, and a
// timestamp that increases with each write of that process.
type Dot struct {
	ProcessID uint64
	Timestamp uint64 // hybrid: ms since 1970 << timestampCounterBits, and a counter
}

// timestampCounterBits is how many low bits of a timestamp count writes within
// one millisecond.
const timestampCounterBits = 16

// Override is one write of an operator.
type Override struct {
	Dot
	Disabled bool
	Origin   string // the front end that accepted the write
	Context  []Dot  // the latest write of each process that this write supersedes
}

// supersedes reports whether a write was made with knowledge of another write.
func (w *Override) supersedes(o *Override) bool {
	for _, d := range w.Context {
		if d.ProcessID == o.ProcessID {
			return d.Timestamp >= o.Timestamp
		}
	}
	return w.ProcessID == o.ProcessID && w.Timestamp > o.Timestamp
}

// prevailsOver reports whether a write holds rather than a concurrent one.
// "Disabled" prevails, then the later write.
func (w *Override) prevailsOver(o *Override) bool {
	if w.Disabled != o.Disabled {
		return w.Disabled
	}
	return cmp.Or(cmp.Compare(w.Timestamp, o.Timestamp), cmp.Compare(w.ProcessID, o.ProcessID)) > 0
}

// compareByDot orders writes by process ID and timestamp.
func compareByDot(a, b *Override) int {
	return cmp.Or(cmp.Compare(a.ProcessID, b.ProcessID), cmp.Compare(a.Timestamp, b.Timestamp))
}

const (
	maxContextProcesses = 8
	maxConcurrentWrites = 8 // in a register
)

// register holds the writes for a key of which none supersedes another.
type register struct {
	key    Key
	hash   uint64
	writes []*Override // by dot
}

// compareByKey orders registers by kind and ID.
func compareByKey(a, b *register) int {
	return cmp.Or(cmp.Compare(a.key.Kind, b.key.Kind), cmp.Compare(a.key.ID, b.key.ID))
}

// merge adds a write, and reports whether the register has changed.
func (r *register) merge(w *Override) (changed bool) {
	i, found := slices.BinarySearchFunc(r.writes, w, compareByDot)
	if found {
		return false
	}
	for _, o := range r.writes {
		if o.supersedes(w) {
			return false
		}
	}
	r.writes = slices.Insert(r.writes, i, w)
	r.writes = slices.DeleteFunc(r.writes, func(o *Override) bool { return o != w && w.supersedes(o) })
	if len(r.writes) <= maxConcurrentWrites {
		return true
	}
	dropped := slices.MinFunc(r.writes, compareForDropping)
	r.writes = slices.DeleteFunc(r.writes, func(o *Override) bool { return o == dropped })
	return dropped != w
}

// compareForDropping orders the writes of a full register, the first to be dropped
// first. The order is the same in all replicas.
func compareForDropping(a, b *Override) int {
	return cmp.Or(
		compareBool(a.Disabled, b.Disabled),
		cmp.Compare(a.Timestamp, b.Timestamp),
		cmp.Compare(a.ProcessID, b.ProcessID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// resolve returns the write that holds, nil if there is none, and the writes that
// differ from it.
func (r *register) resolve() (current *Override, conflicts []*Override) {
	for _, w := range r.writes {
		if current == nil || w.prevailsOver(current) {
			current = w
		}
	}
	for _, w := range r.writes {
		if w.Disabled != current.Disabled {
			conflicts = append(conflicts, w)
		}
	}
	return current, conflicts
}

// next returns a write that supersedes all that the register holds.
func (r *register) newWrite(dot Dot, disabled bool, origin string) *Override {
	latest := map[uint64]uint64{} // timestamp by process ID
	for _, w := range r.writes {
		latest[w.ProcessID] = max(latest[w.ProcessID], w.Timestamp)
		for _, d := range w.Context {
			latest[d.ProcessID] = max(latest[d.ProcessID], d.Timestamp)
		}
	}
	delete(latest, dot.ProcessID) // its later timestamp says so
	w := &Override{Dot: dot, Disabled: disabled, Origin: origin}
	for processID, timestamp := range latest {
		w.Context = append(w.Context, Dot{ProcessID: processID, Timestamp: timestamp})
	}
	slices.SortFunc(w.Context, func(a, b Dot) int {
		return cmp.Or(cmp.Compare(b.Timestamp, a.Timestamp), cmp.Compare(a.ProcessID, b.ProcessID))
	})
	w.Context = w.Context[:min(len(w.Context), maxContextProcesses)]
	return w
}

// Sum returns the register's part in digests; 0: nothing was written.
func (r *register) Sum() uint64 {
	var sum uint64
	for _, w := range r.writes {
		sum ^= antientropy.Mix(antientropy.Mix(w.ProcessID) + w.Timestamp)
	}
	if sum == 0 {
		return 0
	}
	return antientropy.Mix(r.hash ^ sum)
}

// Hash returns the hash of the register's key.
func (r *register) Hash() uint64 { return r.hash }
