package server

import (
	"os"
	"slices"
	"testing"
)

// Two processes see each other's updates of the handover file and do not undo them. A file
// that can't be parsed is an error. At the first start of a front end there is no file, and
// the state is zero.
func TestHandoverFile(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	a, b := newHandoverFile("n0"), newHandoverFile("n0")
	update := func(h *handoverFile, process, engine string) {
		t.Helper()
		_, err := h.update(func(state *handoverState) {
			state.ReadyProcess = process
			state.DisabledEngines = append(state.DisabledEngines, engine)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	var seen os.FileInfo
	if state, err := b.read(); err != nil || state.Version != 0 || b.changedSince(&seen) {
		t.Fatalf("without a file: %+v, %v", state, err)
	}
	update(a, "a", "s-1")
	if !b.changedSince(&seen) {
		t.Error("an update was not noticed")
	}
	if b.changedSince(&seen) {
		t.Error("an update was noticed twice")
	}
	update(b, "b", "s-2")
	state, err := a.read()
	if err != nil {
		t.Fatal(err)
	}
	if state.ReadyProcess != "b" || state.Version != 2 || !slices.Equal(state.DisabledEngines, []string{"s-1", "s-2"}) {
		t.Errorf("%+v, want both updates, the last by process b", state)
	}
	if err := os.WriteFile(a.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := a.read(); err == nil {
		t.Error("a truncated file was read without an error")
	}
}
