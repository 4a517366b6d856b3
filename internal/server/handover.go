package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

// handoverFile is the file in $TMPDIR through which one process of a front end hands over
// to the next in an upgrade. It records which process became ready last and which engines
// operators have disabled. If $TMPDIR is not set, the state is kept in memory and lost
// with the process. Its methods may be called from any goroutine.
type handoverFile struct {
	path string // empty: in memory

	mu       sync.Mutex
	recorded handoverState   // as this process last wrote or read it
	pending  map[string]bool // overrides not written yet: whether an engine is disabled, by id
	sequence int             // the number of states returned so far
}

// handoverState is what the file holds.
type handoverState struct {
	Version         int      `json:"turn"`    // the number of updates
	ReadyProcess    string   `json:"process"` // token of the process that became ready last
	DisabledEngines []string `json:"out"`     // ids

	sequence int // orders the states that this process has obtained; not stored
}

func newHandoverFile(frontEnd string) *handoverFile {
	h := &handoverFile{pending: map[string]bool{}}
	if dir := os.Getenv("TMPDIR"); dir != "" {
		h.path = filepath.Join(dir, "dewhill-"+filepath.Base(frontEnd)+".json")
	}
	return h
}

// read returns the state in the file with the pending overrides of this process. At the
// first start of a front end, the state is zero.
func (h *handoverFile) read() (handoverState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, err := h.load()
	if err == nil && state.Version > 0 { // 0: the file does not exist
		h.recorded = state
	}
	return h.current(), err
}

// current returns the state as last recorded, with the pending overrides.
func (h *handoverFile) current() handoverState {
	state := h.recorded.clone()
	state.setDisabled(h.pending)
	h.sequence++
	state.sequence = h.sequence
	return state
}

// update applies a change and the pending overrides to the state, writes it and returns
// it. After an error the file is unchanged.
func (h *handoverFile) update(change func(*handoverState)) (handoverState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.record(change)
	return h.current(), err
}

// setOverride records whether an engine is disabled, and returns the state. An override
// that can't be written still applies in this process: until it is written, it is pending
// and part of each state that is returned.
func (h *handoverFile) setOverride(engine string, disabled bool) (handoverState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[engine] = disabled
	err := h.record(h.restoreIfMissing)
	return h.current(), err
}

// hasPending reports whether there are overrides that could not be written.
func (h *handoverFile) hasPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pending) > 0
}

// recordPending writes the overrides that could not be written before.
func (h *handoverFile) recordPending() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record(h.restoreIfMissing)
}

// restoreIfMissing is a change that restores the last recorded state if the file no longer
// exists.
func (h *handoverFile) restoreIfMissing(state *handoverState) {
	if state.Version == 0 {
		*state = h.recorded.clone()
	}
}

// record applies a change and the pending overrides to the state, and writes it. The lock
// prevents two processes from undoing each other's updates. Replacing the file by a rename
// prevents a process from reading a file that is half written.
func (h *handoverFile) record(change func(*handoverState)) error {
	if h.path != "" {
		unlock, err := lockFile(h.path + ".lock")
		if err != nil {
			return err
		}
		defer unlock()
	}
	state, err := h.load()
	if err != nil {
		return err
	}
	change(&state)
	state.setDisabled(h.pending)
	state.Version++
	if err := h.store(state); err != nil {
		return err
	}
	h.recorded = state
	clear(h.pending)
	return nil
}

// load reads the file. If the file does not exist, the state is zero.
func (h *handoverFile) load() (handoverState, error) {
	if h.path == "" {
		return h.recorded.clone(), nil
	}
	data, err := os.ReadFile(h.path)
	if errors.Is(err, fs.ErrNotExist) {
		return handoverState{}, nil
	}
	if err != nil {
		return handoverState{}, err
	}
	var state handoverState
	if err := json.Unmarshal(data, &state); err != nil {
		return state, fmt.Errorf("%s: %w", h.path, err)
	}
	return state, nil
}

func (h *handoverFile) store(state handoverState) error {
	if h.path == "" {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	temporary := h.path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, h.path)
}

// clone returns a copy that shares no memory with the state.
func (s handoverState) clone() handoverState {
	s.DisabledEngines = slices.Clone(s.DisabledEngines)
	return s
}

// setDisabled applies overrides, which map engine ids to whether the engine is disabled.
func (s *handoverState) setDisabled(overrides map[string]bool) {
	for _, engine := range slices.Sorted(maps.Keys(overrides)) {
		s.DisabledEngines = slices.DeleteFunc(s.DisabledEngines, func(id string) bool { return id == engine })
		if overrides[engine] {
			s.DisabledEngines = append(s.DisabledEngines, engine)
		}
	}
}

// lockFile waits for an exclusive lock on a file. It creates the file if necessary.
func lockFile(path string) (unlock func(), err error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	unlock = func() { _ = lock.Close() } // closing the file releases the lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		unlock()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return unlock, nil
}

// changedSince reports whether the file was replaced or modified since the call that set
// *seen, and updates *seen. It returns false if the file does not exist.
func (h *handoverFile) changedSince(seen *os.FileInfo) bool {
	if h.path == "" {
		return false
	}
	info, err := os.Stat(h.path)
	if err != nil {
		return false
	}
	if *seen != nil && os.SameFile(info, *seen) && info.ModTime().Equal((*seen).ModTime()) {
		return false
	}
	*seen = info
	return true
}
