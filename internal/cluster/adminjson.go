package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"dewhill/internal/lease"
	"dewhill/internal/membership"
	"dewhill/internal/replication"
)

// timestampShift is the number of low bits of a replicated timestamp that are a counter.
// The bits above them are Unix time in ms.
const timestampShift = 16

// fleetJSON is the response to GET /control/fleet.
type fleetJSON struct {
	Self        string       `json:"self"`
	Incarnation uint32       `json:"incarnation"`
	Converged   bool         `json:"settled"`
	Quorum      bool         `json:"majority"`
	Digest      string       `json:"digest"`
	Members     []memberJSON `json:"members"`
}

// memberJSON is a member in fleetJSON.
type memberJSON struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Incarnation uint32 `json:"incarnation"`
	State       string `json:"state"`
	InStateMS   int64  `json:"since_ms"` // 0 if no message about the member was received
}

// stateJSON is the response to GET /control/state.
type stateJSON struct {
	Digest          string               `json:"digest"`
	Overrides       int                  `json:"entries"`
	CaughtUp        bool                 `json:"caught_up"`
	PendingAcks     int                  `json:"lag"`
	Conflicts       []conflictJSON       `json:"conflicts"`
	DisabledEngines []disabledEngineJSON `json:"engines_out"`
	Leases          leaseSummaryJSON     `json:"loads"`
}

// conflictJSON is an engine or a front end with concurrent overrides. The override that is
// in effect is first.
type conflictJSON struct {
	Engine    string         `json:"engine,omitempty"`
	FrontEnd  string         `json:"front_end,omitempty"`
	Overrides []overrideJSON `json:"words"`
}

// overrideJSON is an override in conflictJSON.
type overrideJSON struct {
	Origin   string `json:"by"`
	UnixMS   uint64 `json:"at_ms"`
	Disabled bool   `json:"out"`
}

// disabledEngineJSON is an engine that is out of service.
type disabledEngineJSON struct {
	Engine string `json:"engine"`
	Origin string `json:"by"`
	UnixMS uint64 `json:"at_ms"`
}

// leaseSummaryJSON counts the leases that are recorded on this front end, by state.
type leaseSummaryJSON struct {
	CanVote    bool `json:"votes"`
	Held       int  `json:"claimed"`
	MayHaveRun int  `json:"may_have_run"`
	Ended      int  `json:"ended"`
}

// marshal encodes a value of one of the types in this file, which always succeeds.
func marshal(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// MembersJSON returns the view of the fleet for operators, as JSON.
func (c *Cluster) MembersJSON() []byte {
	view := c.members.view
	members := []memberJSON{}
	for _, m := range view.Members() {
		members = append(members, c.memberJSON(m))
	}
	slices.SortFunc(members, func(a, b memberJSON) int { return strings.Compare(a.Name, b.Name) })
	return marshal(fleetJSON{
		Self:        c.identity.Name,
		Incarnation: view.Incarnation(),
		Converged:   view.Converged(),
		Quorum:      view.HasQuorum(),
		Digest:      formatDigest(view.Digest()),
		Members:     members,
	})
}

func (c *Cluster) memberJSON(m membership.Member) memberJSON {
	result := memberJSON{Name: m.Name, Address: m.Addr.String(), Incarnation: m.Incarnation, State: m.State.String()}
	if result.Name == "" { // no message with the name has been received
		result.Name = result.Address
	}
	if m.State != membership.Unknown {
		result.InStateMS = int64(c.host.Now() - m.SinceMS)
	}
	return result
}

func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// StateJSON returns the replicated state for operators, as JSON, or nil if replication is
// off.
func (c *Cluster) StateJSON() []byte {
	if c.overrides == nil {
		return nil
	}
	replica := c.overrides.replica
	registers := replica.Registers()
	state := stateJSON{
		Digest:          formatDigest(replica.Digest()),
		Overrides:       len(registers),
		CaughtUp:        replica.Ready(),
		PendingAcks:     replica.PendingAcks(),
		Conflicts:       []conflictJSON{},
		DisabledEngines: []disabledEngineJSON{},
		Leases:          c.leaseSummary(),
	}
	for _, register := range registers {
		current := newOverrideJSON(register.Current)
		if len(register.Conflicts) > 0 {
			conflict := newConflictJSON(register.Key, current)
			for _, other := range register.Conflicts {
				conflict.Overrides = append(conflict.Overrides, newOverrideJSON(other))
			}
			state.Conflicts = append(state.Conflicts, conflict)
		}
		if register.Key.Kind == replication.Engine && current.Disabled {
			disabledEngine := disabledEngineJSON{Engine: register.Key.ID, Origin: current.Origin, UnixMS: current.UnixMS}
			state.DisabledEngines = append(state.DisabledEngines, disabledEngine)
		}
	}
	return marshal(state)
}

func newOverrideJSON(o replication.Override) overrideJSON {
	return overrideJSON{Origin: o.Origin, UnixMS: o.Timestamp >> timestampShift, Disabled: o.Disabled}
}

func newConflictJSON(key replication.Key, current overrideJSON) conflictJSON {
	conflict := conflictJSON{Overrides: []overrideJSON{current}}
	if key.Kind == replication.Engine {
		conflict.Engine = key.ID
	} else {
		conflict.FrontEnd = key.ID
	}
	return conflict
}

func (c *Cluster) leaseSummary() leaseSummaryJSON {
	byState := c.leases.manager.CountByState()
	return leaseSummaryJSON{
		CanVote:    c.leases.manager.CanVote(),
		Held:       byState[lease.Held],
		MayHaveRun: byState[lease.MayHaveRun],
		Ended:      byState[lease.Ended],
	}
}

// countersJSON are the counters for operators, in the order of their keys.
type countersJSON struct {
	Health      int                   `json:"health"`
	Datagrams   Counters              `json:"link"`
	Leases      *lease.Counters       `json:"loads,omitempty"`
	Converged   bool                  `json:"settled"`
	Membership  membership.Counters   `json:"view"`
	Replication *replication.Counters `json:"words,omitempty"`
}

// CountersReport returns the counters of all components, to be encoded as JSON.
func (c *Cluster) CountersReport() any {
	report := countersJSON{
		Health:     c.members.view.Health(),
		Datagrams:  c.Counters,
		Converged:  c.members.view.Converged(),
		Membership: c.members.view.Counters,
	}
	if c.overrides != nil {
		replicationCounters := c.overrides.replica.Counters
		leaseCounters := c.leases.manager.Counters
		report.Replication = &replicationCounters
		report.Leases = &leaseCounters
	}
	return report
}
