package lease

import (
	"cmp"
	"slices"

	"dewhill/internal/antientropy"
)

// recordTable holds this front end's records.
type recordTable struct {
	byKey       map[Key]*record
	tree        *antientropy.Tree[*record]
	oldestFirst []*record // by createdAtMS
}

func newRecordTable() recordTable {
	return recordTable{byKey: map[Key]*record{}, tree: antientropy.New[*record]()}
}

// recordOf returns the record of a key. If there is none, it adds an empty record.
func (m *Manager) recordOf(key Key) *record {
	r := m.records.byKey[key]
	if r != nil {
		return r
	}
	return m.addRecord(key, m.nowMS)
}

// addRecord adds an empty record that was created at a time, and evicts the oldest records
// in excess of Options.MaxLeases. It returns nil if the record itself is among these. Copied
// records arrive in any order: if they were evicted in that order, members would keep
// different records, and one that catches up would never equal another.
func (m *Manager) addRecord(key Key, createdAtMS float64) *record {
	position := m.records.positionOf(createdAtMS)
	if position == 0 && len(m.records.byKey) >= m.options.MaxLeases {
		return nil
	}
	r := &record{key: key, createdAtMS: createdAtMS}
	m.records.byKey[key] = r
	m.records.tree.Insert(r)
	m.records.oldestFirst = slices.Insert(m.records.oldestFirst, position, r)
	for len(m.records.byKey) > m.options.MaxLeases {
		m.evictOldest()
	}
	return r
}

// positionOf returns the position in oldestFirst of a record that was created at a time,
// after those that were created at the same time.
func (t *recordTable) positionOf(createdAtMS float64) int {
	position, _ := slices.BinarySearchFunc(t.oldestFirst, createdAtMS, func(r *record, target float64) int {
		if r.createdAtMS == target {
			return -1
		}
		return cmp.Compare(r.createdAtMS, target)
	})
	return position
}

// evictExpired evicts records that are older than Times.RetentionMS.
func (m *Manager) evictExpired() {
	expired := m.nowMS - m.options.Times.RetentionMS
	for len(m.records.oldestFirst) > 0 && m.records.oldestFirst[0].createdAtMS < expired {
		m.evictOldest()
	}
}

func (m *Manager) evictOldest() {
	r := m.records.oldestFirst[0]
	m.records.oldestFirst = m.records.oldestFirst[1:]
	if m.records.byKey[r.key] != r {
		return
	}
	m.records.tree.Remove(r)
	delete(m.records.byKey, r.key)
	m.Counters.RecordsEvicted++
	m.deletePersisted(r)
}
