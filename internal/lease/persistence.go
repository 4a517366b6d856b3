package lease

import "encoding/hex"

const (
	// recordKeyPrefix precedes the hexadecimal key of a record on the disk.
	recordKeyPrefix = "claim/"
	// voterMarkKey is the key under which the disk says that it has all votes.
	voterMarkKey = "voter"
)

// persistedSenderID stands for the sender in persisted records, which have none.
const persistedSenderID = 1

func persistenceKey(key Key) string { return recordKeyPrefix + hex.EncodeToString(key[:]) }

// restore reads what an earlier process has persisted. Records that cannot be
// decoded are skipped.
func (m *Manager) restore() {
	hasVoterMark := false
	for name, encoded := range m.options.Persisted {
		if name == voterMarkKey {
			hasVoterMark = true
			continue
		}
		msg, err := decode(encoded)
		if err != nil {
			continue
		}
		for i := range msg.records {
			c := &msg.records[i]
			r := m.recordOf(c.key)
			m.learn(r, c.accepted, c.value)
			m.promise(r, c.promised)
		}
	}
	m.recovery.canVote = hasVoterMark
}

// persist writes a record to the disk, and then calls a function. Without a disk
// it calls it at once.
func (m *Manager) persist(r *record, done func()) {
	if !m.options.Durable {
		done()
		return
	}
	header := &message{verb: verbRecords, senderID: persistedSenderID}
	token := m.emitPersist(persistenceKey(r.key), m.copyOf(r).append(header.append(nil)))
	m.onPersisted[token] = done
}

// handlePersisted goes on with what waited for the disk.
func (m *Manager) handlePersisted(token uint64) {
	done, waiting := m.onPersisted[token]
	if waiting {
		done()
		delete(m.onPersisted, token)
	}
}

// deletePersisted deletes an evicted record from the disk.
func (m *Manager) deletePersisted(r *record) {
	if m.options.Durable {
		m.emitPersist(persistenceKey(r.key), nil)
	}
}

// persistVoterMark notes on the disk that it has all votes from now on.
func (m *Manager) persistVoterMark() {
	if m.options.Durable {
		m.emitPersist(voterMarkKey, []byte{1})
	}
}

func (m *Manager) emitPersist(key string, encoded []byte) (token uint64) {
	m.persistToken++
	m.effects.Persists = append(m.effects.Persists, Persist{Token: m.persistToken, Key: key, Record: encoded})
	return m.persistToken
}
