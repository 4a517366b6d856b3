package server

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// handoverFileFaults are faults after which the handover file can't be written, and their
// repairs.
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

// An override that can't be recorded, because the handover file's directory is missing or
// the file is malformed or not writable, still applies, or the operator's call fails: a
// call that succeeds must mean that the engine is disabled.
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
				t.Error("the call succeeded, but the engine is not disabled")
			}
		})
	}
}

// Overrides that could not be recorded all apply, also after a later override was recorded.
// Once the file can be written again they are saved, so that the next process reads them.
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
				t.Fatal("no override is pending while the file can't be written")
			}
			if err := handover.repair(path); err != nil {
				t.Fatal(err)
			}
			f.admin.savePendingOverrides()
			if f.admin.handover.hasPending() {
				t.Fatal("overrides are pending although the file can be written")
			}
			f.override(t, "after", true)
			f.expectDisabled(t, "after", "before", "during")
			next, err := newHandoverFile(f.cfg.Name).read()
			if err != nil {
				t.Fatal(err)
			}
			slices.Sort(next.DisabledEngines)
			if !slices.Equal(next.DisabledEngines, []string{"after", "before", "during"}) {
				t.Errorf("the next process reads the disabled engines %q", next.DisabledEngines)
			}
		})
	}
}

// If the handover file is deleted, the process does not conclude that another one has
// replaced it, and the overrides that the file held still apply with later ones.
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
		t.Error("without the file, another process is taken to be ready")
	}
	f.override(t, "after", true)
	f.expectDisabled(t, "after", "before")
	if f.admin.replaced() {
		t.Error("another process is taken to be ready after the file was written again")
	}
}

// A process that was replaced does not save its pending overrides, which would overwrite
// those of the next process. It does apply the overrides that the next process records.
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
		t.Errorf("the next process reads the disabled engines %q, want only s-2", state.DisabledEngines)
	}
	go f.admin.applyChangedHandover()
	f.loop.run(func() bool { return f.admin.disabled["s-2"] })
	f.expectDisabled(t, "s-1", "s-2")
}

// setEngineOverride calls SetEngineOverride as the operators' API does, while the loop
// runs.
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

// override disables or enables a listed engine, and fails the test after an error.
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
		t.Errorf("disabled engines %q, want %q", got, engines)
	}
}

// newUnreplicatedFrontEnd returns a front end with an operators' API and without a cluster.
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
