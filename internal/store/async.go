package store

// PutAsync stores a value in the background, so that an event loop does not wait for the
// disk. A nil value deletes the key. If values arrive faster than the disk can write them,
// the latest value of each key replaces the earlier values. The callback, which may be nil,
// is called in the background once the value or a later value of the key is on disk. If the
// value cannot be stored, the error is reported and the callback is not called.
func (s *Store) PutAsync(key string, value []byte, callback func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue[key] = value
	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}
	if !s.writing {
		s.writing = true
		go s.writeQueue()
	}
}

// writeQueue is the background writer. It ends when the queue is empty.
func (s *Store) writeQueue() {
	for {
		values, callbacks := s.takeQueue()
		if len(values) == 0 {
			return
		}
		err := s.putAll(values)
		if err != nil {
			s.reportLine(err.Error())
			continue
		}
		for _, callback := range callbacks {
			callback()
		}
	}
}

// takeQueue removes and returns the queued values and callbacks. If there are no values, the
// writer must end.
func (s *Store) takeQueue() (values map[string][]byte, callbacks []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values = s.queue
	callbacks = s.callbacks
	s.queue = map[string][]byte{}
	s.callbacks = nil
	s.writing = len(values) > 0
	return values, callbacks
}
