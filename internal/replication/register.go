package replication

import (
	"cmp"
	"slices"

	"dewhill/internal/antientropy"
)

// Kind is the kind of component that a Key identifies. Its values are part of the wire
// format.
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

// Key identifies an engine or a front end.
type Key struct {
	Kind Kind
	ID   string
}

func (k Key) hash() uint64 { return antientropy.HashString(string([]byte{byte(k.Kind)}) + k.ID) }

// Dot identifies a write by the process of a front end that made the write, and by a
// timestamp that increases with each write of that process.
type Dot struct {
	ProcessID uint64
	Timestamp uint64 // hybrid: ms since 1970 << timestampCounterBits, plus a counter
}

// timestampCounterBits is the number of low bits of a timestamp that count writes within
// one millisecond.
const timestampCounterBits = 16

// Override is one write of an operator.
type Override struct {
	Dot
	Disabled bool
	Origin   string // the front end that accepted the write
	Context  []Dot  // the latest write of each process that this write supersedes
}

// supersedes reports whether the process that made a write had received another write,
// or had made it earlier.
func (w *Override) supersedes(o *Override) bool {
	for _, d := range w.Context {
		if d.ProcessID == o.ProcessID {
			return d.Timestamp >= o.Timestamp
		}
	}
	return w.ProcessID == o.ProcessID && w.Timestamp > o.Timestamp
}

// prevailsOver reports whether a write takes precedence over a concurrent write.
// "Disabled" takes precedence over "enabled"; between equal values, the later write does.
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

// register is the set of writes for a key, none of which supersedes another.
type register struct {
	key    Key
	hash   uint64
	writes []*Override // ordered by dot
}

// compareByKey orders registers by kind and ID.
func compareByKey(a, b *register) int {
	return cmp.Or(cmp.Compare(a.key.Kind, b.key.Kind), cmp.Compare(a.key.ID, b.key.ID))
}

// merge adds a write, unless a write in the register supersedes it, and removes the writes
// that it supersedes. It reports whether the register has changed.
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

// compareForDropping orders the writes of a full register. The first one is dropped. The
// order is the same in all replicas.
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

// resolve returns the write that is in effect, or nil if there is none, and the writes
// whose value differs from it.
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

// newWrite returns a write that supersedes all writes in the register.
func (r *register) newWrite(dot Dot, disabled bool, origin string) *Override {
	latest := map[uint64]uint64{} // timestamp by process ID
	for _, w := range r.writes {
		latest[w.ProcessID] = max(latest[w.ProcessID], w.Timestamp)
		for _, d := range w.Context {
			latest[d.ProcessID] = max(latest[d.ProcessID], d.Timestamp)
		}
	}
	delete(latest, dot.ProcessID) // its earlier writes are superseded by the later timestamp
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

// Sum returns the register's contribution to digests, which is 0 if it has no writes.
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
