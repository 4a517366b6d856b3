package store

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// waitForWriter waits until the background writer has ended.
func waitForWriter(s *Store) {
	isWriting := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.writing
	}
	for isWriting() {
		time.Sleep(time.Millisecond)
	}
}

// TestPutAsync checks that the last of many values of a key is stored, that all callbacks
// are called, and that a nil value deletes the key.
func TestPutAsync(t *testing.T) {
	const values = 100
	s := openTest(t, t.TempDir())
	var called atomic.Int32
	for i := range values {
		s.PutAsync("k", []byte{byte(i)}, func() { called.Add(1) })
	}
	waitForWriter(s)
	if err := errors.Join(s.Put("deleted", []byte{1}), s.Put("deleted", nil)); err != nil {
		t.Error(err)
	}
	if value, err := s.Get("deleted"); value != nil || err != nil {
		t.Errorf("a deleted key has value %v, %v", value, err)
	}
	if err := s.createOrVerify(); err != nil {
		t.Error(err)
	}
	if n := called.Load(); n != values {
		t.Errorf("%d of %d callbacks were called", n, values)
	}
	if all, err := s.All("k"); len(all) != 1 || all[""][0] != values-1 || err != nil {
		t.Errorf("all values %v, %v, want only the last one", all, err)
	}
	if value, err := s.Get("k"); len(value) != 1 || value[0] != values-1 || err != nil {
		t.Errorf("value %v, %v, want the last one", value, err)
	}
}
