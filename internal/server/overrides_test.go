package server

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// handoverFileFaults are ways in which the handover file can't be written, and how each
// is repaired.
var handoverFileFaults = map[string]struct{ damage, repair func(path string) error }{
	"no directory": {
		damage: func(path string) error { return os.RemoveAll(filepath.Dir(path)) },
		repair: func(path string) error { return os.Mkdir(filepath.Dir(path), 0o700) },
	},
	"malformed": {
		damage: func(path string) error { return os.WriteFile(path, []byte("{"), 0o600) },
		repair: os.Remove,
	},
	"not writable": {
		damage: func(path string) error { return os.Mkdir(path+".new", 0o700) },
		repair: func(path string) error { return os.Remove(path + ".new") },
	},
}

// An operator who is told that an engine is disabled can rely on it: where the override
// can't be recorded, as the directory of the handover file has gone or the file is
// malformed, it is in force all the same, or the call fails.
func TestOverrideThatCannotBeRecorded(t *testing.T) {
	const engine = "s-1"
	for name, handover := range handoverFileFaults {
		t.Run(name, func(t *testing.T) {
			f := newUnreplicatedFrontEnd(t)
			f.admin.recordListed(engine)
			if err := handover.damage(f.admin.handover.path); err != nil {
				t.Fatal(err)
			}
			err := f.setEngineOverride(engine, true)
			if err == nil && !f.admin.disabled[engine] {
				t.Error("the call succeeded, and the engine is not disabled")
			}
		})
	}
}

// Overrides that could not be recorded are in force together, also after another one
// that could, and the next process learns of all of them.
func TestOverridesAreRecordedOnceTheFileIsWritable(t *testing.T) {
	for name, handover := range handoverFileFaults {
		t.Run(name, func(t *testing.T) {
			f := newUnreplicatedFrontEnd(t)
			f.override(t, "before", true)
			f.override(t, "lifted", true)
			path := f.admin.handover.path
			if err := handover.damage(path); err != nil {
				t.Fatal(err)
			}
			f.override(t, "during", true)
			f.override(t, "lifted", false)
			f.expectDisabled(t, "before", "during")
			f.admin.savePendingOverrides()
			if !f.admin.handover.hasPending() {
				t.Fatal("nothing is pending while the file can't be written")
			}
			if err := handover.repair(path); err != nil {
				t.Fatal(err)
			}
			f.admin.savePendingOverrides()
			if f.admin.handover.hasPending() {
				t.Fatal("overrides are pending though the file can be written")
			}
			f.override(t, "after", true)
			f.expectDisabled(t, "after", "before", "during")
			next, err := newHandoverFile(f.cfg.Name).read()
			if err != nil {
				t.Fatal(err)
			}
			slices.Sort(next.DisabledEngines)
			if !slices.Equal(next.DisabledEngines, []string{"after", "before", "during"}) {
				t.Errorf("the next process is told of %q", next.DisabledEngines)
			}
		})
	}
}

// A handover file that was deleted tells of no other process, and the overrides that it
// held stay in force with those that follow.
func TestDeletedHandoverFile(t *testing.T) {
	f := newUnreplicatedFrontEnd(t)
	becomeReady := func(state *handoverState) { state.ReadyProcess = f.admin.token }
	if _, err := f.admin.handover.update(becomeReady); err != nil {
		t.Fatal(err)
	}
	f.override(t, "before", true)
	if err := os.Remove(f.admin.handover.path); err != nil {
		t.Fatal(err)
	}
	if f.admin.replaced() {
		t.Error("another process is taken to be ready")
	}
	f.override(t, "after", true)
	f.expectDisabled(t, "after", "before")
	if f.admin.replaced() {
		t.Error("another process is taken to be ready, once the file is there again")
	}
}

// Overrides of two processes of a front end reach the other one, and an older process
// writes none of its pending ones over those of the process that has replaced it.
func TestReplacedProcessSavesNoPendingOverride(t *testing.T) {
	f := newUnreplicatedFrontEnd(t)
	temporary := f.admin.handover.path + ".new"
	if err := os.Mkdir(temporary, 0o700); err != nil {
		t.Fatal(err)
	}
	f.override(t, "s-1", true)
	if err := os.Remove(temporary); err != nil {
		t.Fatal(err)
	}
	next := newHandoverFile(f.cfg.Name)
	if _, err := next.update(func(state *handoverState) { state.ReadyProcess = "next" }); err != nil {
		t.Fatal(err)
	}
	if _, err := next.setOverride("s-2", true); err != nil {
		t.Fatal(err)
	}
	f.admin.savePendingOverrides()
	state, err := next.read()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(state.DisabledEngines, []string{"s-2"}) {
		t.Errorf("the process that took over is told of %q", state.DisabledEngines)
	}
	go f.admin.applyChangedHandover()
	f.loop.run(func() bool { return f.admin.disabled["s-2"] })
	f.expectDisabled(t, "s-1", "s-2")
}

// setEngineOverride calls as an operator does, while the loop runs.
func (f *platformFrontEnd) setEngineOverride(engine string, disabled bool) (result error) {
	answered := false
	go func() {
		err := f.admin.SetEngineOverride(engine, disabled)
		f.loop.Post(func() {
			result = err
			answered = true
		})
	}()
	f.loop.run(func() bool { return answered })
	return result
}

// override disables a listed engine or enables it, which must succeed.
func (f *platformFrontEnd) override(t *testing.T, engine string, disabled bool) {
	t.Helper()
	f.admin.recordListed(engine)
	if err := f.setEngineOverride(engine, disabled); err != nil {
		t.Fatal(err)
	}
}

func (f *platformFrontEnd) expectDisabled(t *testing.T, engines ...string) {
	t.Helper()
	if got := slices.Sorted(maps.Keys(f.admin.disabled)); !slices.Equal(got, engines) {
		t.Errorf("disabled are %q, want %q", got, engines)
	}
}

// newUnreplicatedFrontEnd is a front end with an address for operators and without a
// cluster.
func newUnreplicatedFrontEnd(t testing.TB) *platformFrontEnd {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	cfg, err := ReadConfig(filepath.Join("testdata", "compat", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	cfg.ControlListen = "127.0.0.1:0"
	cfg.PeerListen = ""
	cfg.DiscoveryAddress = ""
	s, f, err := newPlatformFrontEnd(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.listener.Close()
		_ = f.admin.listener.Close()
	})
	return f
}
