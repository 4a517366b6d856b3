package server

import (
	"testing"

	"dewhill/internal/discovery"
	"dewhill/internal/simproto"
)

// An engine whose zone or kind is not in the settings is listed with index -1. It is used,
// but not for classes that are restricted to certain zones or kinds.
func TestEngineOfUnknownZoneAndKind(t *testing.T) {
	cfg := &Config{Settings: simproto.Settings{Zones: []string{"here"}, EngineKinds: []string{"std"}}}
	f := &platformFrontEnd{cfg: cfg}
	known := f.engineInfo(&discovery.Endpoint{ID: "s-1", Zone: "here", Kind: "std", State: discovery.Active})
	unknown := f.engineInfo(&discovery.Endpoint{ID: "s-2", Zone: "there", Kind: "later", State: discovery.Active})
	if known.Zone != 0 || known.Kind != 0 {
		t.Errorf("engine of a known zone and kind: %+v", known)
	}
	if unknown.Zone != -1 || unknown.Kind != -1 || unknown.Removed || unknown.Draining {
		t.Errorf("engine of an unknown zone and kind: %+v", unknown)
	}
}
