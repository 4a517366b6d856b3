package replica

import "slices"

// tree holds registers by the hash of their keys, with a sum for each of 16, 256
// and 4,096 ranges, so that what differs between two copies is found in three
// steps and in bytes that grow with what differs.
type tree struct {
	by   map[Key]*register
	sums [levels + 1][]uint64 // sums[0] is of all
	n    [levels + 1][]int
	leaf [][]*register
}

const (
	levels = 3
	fan    = 16
	leaves = fan * fan * fan
)

func newTree() *tree {
	t := &tree{by: map[Key]*register{}, leaf: make([][]*register, leaves)}
	for l, size := 0, 1; l <= levels; l, size = l+1, size*fan {
		t.sums[l], t.n[l] = make([]uint64, size), make([]int, size)
	}
	return t
}

// at is the range of a hash at a level.
func at(level int, hash uint64) int { return int(hash >> (64 - 4*level)) }

// get returns a machine's register, a new one where there is none.
func (t *tree) get(k Key) *register {
	r := t.by[k]
	if r == nil {
		r = &register{key: k, hash: k.hash()}
		t.by[k] = r
		i := at(levels, r.hash)
		t.leaf[i] = append(t.leaf[i], r)
		for l := range t.n {
			t.n[l][at(l, r.hash)]++
		}
	}
	return r
}

// add merges a word in.
func (t *tree) add(k Key, w *Word) (r *register, changed bool) {
	r = t.get(k)
	was := r.sum()
	if !r.add(w) {
		return r, false
	}
	d := was ^ r.sum()
	for l := range t.sums {
		t.sums[l][at(l, r.hash)] ^= d
	}
	return r, true
}

// in lists the registers of a range.
func (t *tree) in(level, i int) (list []*register) {
	width := 1
	for l := level; l < levels; l++ {
		width *= fan
	}
	for _, leaf := range t.leaf[i*width : (i+1)*width] {
		list = append(list, leaf...)
	}
	return list
}

// children are the sums of the ranges of a range, shortened.
func (t *tree) children(level, i int) (sums []uint32) {
	for _, s := range t.sums[level+1][i*fan : (i+1)*fan] {
		sums = append(sums, short(s))
	}
	return sums
}

func short(s uint64) uint32 { return uint32(mix(s)) }

// keys lists all machines in a stable order.
func (t *tree) keys() (list []*register) {
	for _, r := range t.by {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *register) int {
		if a.key.Kind != b.key.Kind {
			return int(a.key.Kind) - int(b.key.Kind)
		}
		if a.key.ID < b.key.ID {
			return -1
		}
		return 1
	})
	return list
}
