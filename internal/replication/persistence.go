package replication

import (
	"maps"
	"slices"
)

// persistenceKeyPrefix precedes the kind and ID of a register in a persisted key.
const persistenceKeyPrefix = "word/"

func persistenceKey(key Key) string {
	return persistenceKeyPrefix + string(rune(key.Kind)) + "/" + key.ID
}

// restore merges the registers that an earlier process has persisted. It skips registers
// that cannot be decoded: the other members have them.
func (r *Replica) restore() {
	for _, name := range slices.Sorted(maps.Keys(r.options.Persisted)) {
		entries, err := decodeRegister(r.options.Persisted[name])
		if err != nil {
			r.Counters.Malformed++
			continue
		}
		for _, e := range entries {
			r.lastTimestamp = max(r.lastTimestamp, e.write.Timestamp)
			r.merge(e.key, e.write)
			r.reportChange(e.key)
		}
	}
}

// persist has a register written to disk, and calls a function once that is done. Without
// a disk it calls the function immediately.
func (r *Replica) persist(reg *register, then func()) {
	if !r.options.Durable {
		then()
		return
	}
	r.persistToken++
	r.onPersisted[r.persistToken] = []func(){then}
	r.effects.Persists = append(r.effects.Persists, Persist{
		Token:  r.persistToken,
		Key:    persistenceKey(reg.key),
		Record: encodeRegister(reg),
	})
}

// afterPersisting calls a function once all registers passed to persist so far are on
// disk. It waits only for the last one, because records are written in order.
func (r *Replica) afterPersisting(then func()) {
	if _, isWriting := r.onPersisted[r.persistToken]; !isWriting {
		then()
		return
	}
	r.onPersisted[r.persistToken] = append(r.onPersisted[r.persistToken], then)
}

// persisted calls the functions that waited for a record to be written.
func (r *Replica) persisted(token uint64) {
	for _, then := range r.onPersisted[token] {
		then()
	}
	delete(r.onPersisted, token)
}
