package rig

import (
	"encoding/json"
	"fmt"
)

// settingsJSON are the settings of a small deployment of two front ends, in the form of
// the interface page.
const settingsJSON = `{"callers": {"marksRetry": true},
 "categories": [
  {"aimMs": 1000, "aimStretch": 2, "effect": "pure", "group": "all", "hardLimitMs": 5000, "lateValue": 0, "name": "lookup", "stream": false, "value": 1, "windowMs": 5000},
  {"aimMs": 3000, "aimStretch": 2.5, "effect": "pure", "group": "all", "hardLimitMs": 15000, "lateValue": 0.3, "name": "report", "stream": false, "value": 5, "windowMs": 5000},
  {"aimMs": 3000, "aimStretch": 3, "effect": "side_effect", "group": "all", "hardLimitMs": 25000, "lateValue": 0.6, "name": "load", "sequential": true, "stream": false, "value": 6, "windowMs": 5000}],
 "contract": {"coldShare": 0.33, "fallMs": 1500, "fallMultiple": 4, "graceToAnswerMs": 20, "mustAskInMs": 10000, "orderSettleMs": 0, "stopSendingWithinMs": 500, "warmWithinMs": 15000},
 "customers": [], "discovery": "push",
 "domain": {"blockedByLoads": [true, true, false], "classLoad": [false, false, true], "coresByKind": [8, 16], "dop": [1, 3, 2], "grantsCount": false, "largestShare": 0.4, "memoryByKindMb": [16384, 32768], "memoryShort": "shrink", "progressMs": 0, "takesPriority": true, "tellsCost": true},
 "domainType": "queries", "hostTypes": ["std-8", "std-16"],
 "limits": {"cancel": true, "connIdleMs": 15000, "connectTimeoutMs": 250, "maxOpen": 20000, "maxRetryAfterMs": 500, "mayTell": true, "probes": false, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32, "tryLimit": 5},
 "localities": ["sapporo-dc"], "ordinal": 0, "overShareWorth": 0.1, "replicasOfMe": 2,
 "reporting": {"fields": [], "via": "none"}, "stages": ["query-fleet"], "tickMs": 5, "tier": 0, "weights": "none", "worthBy": "request", "zone": 0}`

// Platform describes the configuration of a platform front end.
type Platform struct {
	Name, Listen, Control, PeerListen string
	Peers                             []string // empty: none are listed
	Ordinal                           int
	Engines                           map[string]string // addresses by id
}

// WritePlatform writes the file for PROXY_CONFIG and returns its path.
func (r *Rig) WritePlatform(p Platform) string {
	var settings map[string]any
	r.Check(json.Unmarshal([]byte(settingsJSON), &settings))
	settings["ordinal"] = p.Ordinal
	hosts := []any{}
	for id, addr := range p.Engines {
		hosts = append(hosts, map[string]any{"host": id, "dial": addr, "site": "sapporo-dc", "class": "std-8",
			"block": 0, "health": "active", "share": 1, "born_ms": 0})
	}
	notice := map[string]any{"rev": 1, "pool": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}
	config := map[string]any{
		"name": p.Name, "listen": p.Listen, "control": p.Control, "seed": fmt.Sprintf("8c1f30d27a5be96%d", p.Ordinal),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": p.PeerListen,
		"known":       map[string]any{"rev": 1, "notices": []any{notice}},
		"settings":    settings,
	}
	if len(p.Peers) > 0 {
		config["peers"] = p.Peers
	}
	return r.WriteJSON("platform-"+p.Name+".json", config)
}
