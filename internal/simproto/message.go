package simproto

import "dewhill/control"

// Message is a message from the simulator: one of the types of this file.
type Message interface{ message() }

// BatchStart starts a batch.
type BatchStart struct {
	NowMS  float64 // the time of all events of the batch
	Serial int64   // number by which the end of the batch is acknowledged
}

// BatchEnd ends a batch.
type BatchEnd struct{}

// EndpointPage reports that the Decoder has stored a page of endpoints, to which later
// lines refer. It requires no action.
type EndpointPage struct{}

// StartInstance starts a gateway. It replaces an earlier gateway with the same number.
type StartInstance struct {
	Instance int
	Seed     uint64
	Settings control.Settings
}

// StopInstance stops a gateway and discards its state.
type StopInstance struct{ Instance int }

// InstanceEvent is an event of a gateway.
type InstanceEvent struct {
	Instance int
	Event    control.Event
}

func (BatchStart) message()    {}
func (BatchEnd) message()      {}
func (EndpointPage) message()  {}
func (StartInstance) message() {}
func (StopInstance) message()  {}
func (InstanceEvent) message() {}
