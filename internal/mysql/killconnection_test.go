package mysql

import (
	"testing"
	"time"
)

// TestLateLossRemovesNoListedEngine guards against an engine that is listed again and unknown to
// the pool: its kill connection of before, when it was removed, was lost afterwards.
func TestLateLossRemovesNoListedEngine(t *testing.T) {
	p := NewPool(&orderLoop{now: 1e6}, Limits{ConnectionsPerEngine: 4}, time.Second)
	listed := []Engine{{ID: "e0", Address: "127.0.0.1:1"}}
	p.SetEndpoints(listed, nil)
	k := &killConnection{engine: p.engines["e0"]}
	p.SetEndpoints(nil, nil)
	p.SetEndpoints(listed, nil)
	p.retire(k)
	if p.engines["e0"] == nil || p.engines["e0"] == k.engine {
		t.Error("the engine that is listed again was removed")
	}
}
