package lease

import "dewhill/internal/antientropy"

// recordTable holds this front end's records.
type recordTable struct {
	byKey       map[Key]*record
	tree        *antientropy.Tree[*record]
	oldestFirst []*record // by time of insertion, which approximates their age
}

func newRecordTable() recordTable {
	return recordTable{byKey: map[Key]*record{}, tree: antientropy.New[*record]()}
}

// recordOf returns the record of a key. If there is none, it adds an empty record, and
// evicts the oldest records in excess of Options.MaxLeases.
func (m *Manager) recordOf(key Key) *record {
	r := m.records.byKey[key]
	if r != nil {
		return r
	}
	r = &record{key: key, createdAtMS: m.nowMS}
	m.records.byKey[key] = r
	m.records.tree.Insert(r)
	m.records.oldestFirst = append(m.records.oldestFirst, r)
	for len(m.records.byKey) > m.options.MaxLeases && len(m.records.oldestFirst) > 0 {
		m.evictOldest()
	}
	return r
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
