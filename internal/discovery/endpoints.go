package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"
)

// The types below are the JSON of the discovery service. Their Go names are the terms
// of the field; the service's own names appear in the tags of this file only.

// State is an endpoint's state.
type State string

// The states of an endpoint.
const (
	Active   State = "active"
	Draining State = "leaving"
	Removed  State = "left"
)

// String returns the state's name for log lines and views. An unknown state is returned
// as it was listed.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	default:
		return string(s)
	}
}

// Endpoint is an engine as the discovery service lists it.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"` // host and port
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        int     `json:"block"`
	State       State   `json:"health"`
	Size        float64 `json:"share"`
	StartedAtMS float64 `json:"born_ms"` // Unix time of the engine's last start
}

// EndpointList is the complete list of endpoints if Snapshot is set, and otherwise the
// endpoints that changed.
type EndpointList struct {
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Update is one numbered event of the service. Endpoints is nil in events that are not
// about endpoints.
type Update struct {
	Revision  int64         `json:"rev"`
	Endpoints *EndpointList `json:"pool"`
}

// Updates are the events of one response, up to a revision.
type Updates struct {
	Revision int64    `json:"rev"`
	Updates  []Update `json:"notices"`

	// SincePrevious is the time between the previous valid response, which had none of
	// these updates, and this response; 0 for the first response. Watch sets it.
	SincePrevious time.Duration `json:"-"`
}

// The errors of Validate.
var (
	errRevisionOrder  = errors.New("revision out of order")
	errNoID           = errors.New("endpoint without an id")
	errInvalidAddress = errors.New("invalid address")
	errUnknownState   = errors.New("unknown state")
)

// SortByRevision sorts the events by revision and drops duplicates. Without it, the
// responses of a service that repeats or reorders events would always be rejected.
func (u *Updates) SortByRevision() {
	slices.SortStableFunc(u.Updates, func(a, b Update) int { return cmp.Compare(a.Revision, b.Revision) })
	u.Updates = slices.CompactFunc(u.Updates, func(a, b Update) bool { return a.Revision == b.Revision })
}

// Validate returns an error if the events are out of order or an endpoint is invalid. If
// it does, none of the updates may be applied.
func (u *Updates) Validate() error {
	last := int64(0)
	for _, update := range u.Updates {
		if update.Revision <= last || update.Revision > u.Revision {
			return fmt.Errorf("event %d after %d of %d: %w", update.Revision, last, u.Revision, errRevisionOrder)
		}
		last = update.Revision
		if update.Endpoints == nil {
			continue
		}
		for i := range update.Endpoints.Endpoints {
			if err := update.Endpoints.Endpoints[i].validate(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Endpoint) validate() error {
	if e.ID == "" {
		return errNoID
	}
	switch e.State {
	case Active, Draining:
		if !e.hasValidAddress() {
			return fmt.Errorf("endpoint %q: %w %q", e.ID, errInvalidAddress, e.Address)
		}
	case Removed:
	default:
		return fmt.Errorf("endpoint %q: %w %q", e.ID, errUnknownState, e.State)
	}
	return nil
}

func (e *Endpoint) hasValidAddress() bool {
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil
}

// unreachableAddress replaces an invalid address.
const unreachableAddress = "127.0.0.1:0"

// repair makes invalid endpoints valid. An endpoint in an unknown state or without a
// valid address counts as draining, so that it gets no new requests; an endpoint without
// an id is dropped. It returns the number of invalid endpoints.
func (u *Updates) repair() int {
	repaired := 0
	for _, update := range u.Updates {
		if update.Endpoints != nil {
			repaired += update.Endpoints.repair()
		}
	}
	return repaired
}

func (l *EndpointList) repair() int {
	listed := len(l.Endpoints)
	l.Endpoints = slices.DeleteFunc(l.Endpoints, func(e Endpoint) bool { return e.ID == "" })
	repaired := listed - len(l.Endpoints)
	for i := range l.Endpoints {
		endpoint := &l.Endpoints[i]
		if endpoint.validate() == nil {
			continue
		}
		endpoint.State = Draining
		if !endpoint.hasValidAddress() {
			endpoint.Address = unreachableAddress
		}
		repaired++
	}
	return repaired
}
