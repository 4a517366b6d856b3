package lease

import "encoding/hex"

const (
	// recordKeyPrefix precedes the hexadecimal key of a record on disk.
	recordKeyPrefix = "claim/"
	// voterMarkKey is the key of a mark that all votes of this front end are on disk.
	voterMarkKey = "voter"
)

// persistedSenderID is the sender ID in persisted records, which have no sender.
const persistedSenderID = 1

func persistenceKey(key Key) string { return recordKeyPrefix + hex.EncodeToString(key[:]) }

// restore reads the records that an earlier process has persisted. It skips records
// that cannot be decoded.
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

// persist writes a record to disk and calls done when it is written. If the options
// are not Durable, it calls done at once.
func (m *Manager) persist(r *record, done func()) {
	if !m.options.Durable {
		done()
		return
	}
	header := &message{verb: verbRecords, senderID: persistedSenderID}
	token := m.emitPersist(persistenceKey(r.key), m.copyOf(r).append(header.append(nil)))
	m.onPersisted[token] = done
}

// handlePersisted calls the function that waits for a record to be written.
func (m *Manager) handlePersisted(token uint64) {
	done, found := m.onPersisted[token]
	if found {
		done()
		delete(m.onPersisted, token)
	}
}

// deletePersisted deletes an evicted record from disk.
func (m *Manager) deletePersisted(r *record) {
	if m.options.Durable {
		m.emitPersist(persistenceKey(r.key), nil)
	}
}

// persistVoterMark writes the mark that all votes from now on are on disk.
func (m *Manager) persistVoterMark() {
	if m.options.Durable {
		m.emitPersist(voterMarkKey, []byte{1})
	}
}

// emitPersist adds a Persist effect. A nil record deletes the key.
func (m *Manager) emitPersist(key string, encoded []byte) (token uint64) {
	m.persistToken++
	m.effects.Persists = append(m.effects.Persists, Persist{Token: m.persistToken, Key: key, Record: encoded})
	return m.persistToken
}
