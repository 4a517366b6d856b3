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

// handoverFile is the file in $TMPDIR by which the processes of one front end
// succeed one another in an upgrade: it tells which one serves, and which engines
// operators have disabled. Without a $TMPDIR the state is held in memory, and ends
// with the process. Its methods may be called from any goroutine.
type handoverFile struct {
	path string // empty: in memory

	mu       sync.Mutex
	recorded handoverState   // as this process last wrote or read it
	pending  map[string]bool // engines, disabled or not: overrides that could not be written yet
	sequence int             // counts the states returned
}

// handoverState is what the file holds.
type handoverState struct {
	Version         int      `json:"turn"`    // counts the updates
	ReadyProcess    string   `json:"process"` // token of the process that was ready last
	DisabledEngines []string `json:"out"`     // ids

	sequence int // in which this process came to know of states; not stored
}

func newHandoverFile(frontEnd string) *handoverFile {
	h := &handoverFile{pending: map[string]bool{}}
	if dir := os.Getenv("TMPDIR"); dir != "" {
		h.path = filepath.Join(dir, "dewhill-"+filepath.Base(frontEnd)+".json")
	}
	return h
}

// read returns the state with all overrides of this process; it is zero at a front
// end's first start.
func (h *handoverFile) read() (handoverState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, err := h.load()
	if err == nil && state.Version > 0 { // else the file is gone
		h.recorded = state
	}
	return h.current(), err
}

// current is the state as it was recorded last, with the overrides that are pending.
func (h *handoverFile) current() handoverState {
	state := h.recorded.clone()
	state.setDisabled(h.pending)
	h.sequence++
	state.sequence = h.sequence
	return state
}

// update changes the state, with the overrides that are pending, and returns it. After
// an error the file is unchanged.
func (h *handoverFile) update(change func(*handoverState)) (handoverState, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.record(change)
	return h.current(), err
}

// setOverride records that an engine is disabled, or that it is not, and returns the
// state. An override that can't be written is in force in this process all the same:
// it is pending, and part of each state that is returned, until it is written.
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

// restoreIfMissing is a change that puts back what was recorded, where the file is gone.
func (h *handoverFile) restoreIfMissing(state *handoverState) {
	if state.Version == 0 {
		*state = h.recorded.clone()
	}
}

// record writes a change of the state, with the overrides that are pending. A lock
// keeps two processes from undoing each other's updates; a rename, from reading half
// a file.
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

// load reads the file. The state is zero where there is none.
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

// clone returns a copy that shares nothing with the state.
func (s handoverState) clone() handoverState {
	s.DisabledEngines = slices.Clone(s.DisabledEngines)
	return s
}

// setDisabled notes overrides, which tell of each engine whether it is disabled.
func (s *handoverState) setDisabled(overrides map[string]bool) {
	for _, engine := range slices.Sorted(maps.Keys(overrides)) {
		s.DisabledEngines = slices.DeleteFunc(s.DisabledEngines, func(id string) bool { return id == engine })
		if overrides[engine] {
			s.DisabledEngines = append(s.DisabledEngines, engine)
		}
	}
}

// lockFile takes an exclusive lock on a file, and waits for it.
func lockFile(path string) (unlock func(), err error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	unlock = func() { _ = lock.Close() } // which gives the lock back
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		unlock()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return unlock, nil
}

// changedSince reports whether the file is another than the one last seen, which it
// then becomes. It is false for a file that is not there.
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
