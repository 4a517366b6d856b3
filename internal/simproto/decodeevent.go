package simproto

import (
	"fmt"

	"dewhill/control"
)

// eventDecoder decodes the messages of one verb, each of which is an event of an
// instance.
type eventDecoder struct {
	decode         func(*wireMessage) (control.Event, error)
	needsRequestID bool // a message without a request ID is malformed
	needsEngine    bool // a message without an engine ID is malformed
}

// eventDecoders are the decoders by verb. verbEndpoints is missing, since its decoding
// depends on earlier messages.
var eventDecoders = map[verb]eventDecoder{
	verbRequestArrived:   {decode: decodeRequestArrived, needsRequestID: true},
	verbRequestAbandoned: {decode: decodeRequestAbandoned, needsRequestID: true},
	verbAttemptStatus:    {decode: decodeAttemptStatus, needsRequestID: true},
	verbStreamOpened:     {decode: decodeStreamOpened, needsRequestID: true},
	verbAttemptEnded:     {decode: decodeAttemptEnded, needsRequestID: true, needsEngine: true},
	verbProbeEnded:       {decode: decodeProbeEnded, needsEngine: true},
	verbGossipReceived:   {decode: decodeGossipReceived},
	verbTimerFired:       {decode: decodeTimerFired},
}

// decodeEvent decodes an event and checks that it has the instance number and the IDs
// that its verb needs.
func decodeEvent(wire *wireMessage, decoder eventDecoder) (Message, error) {
	if wire.Instance == nil {
		return nil, errNoInstance
	}
	event, err := decoder.decode(wire)
	switch {
	case err != nil:
		return nil, err
	case decoder.needsRequestID && wire.RequestID == "":
		return nil, errNoRequest
	case decoder.needsEngine && wire.Engine == "":
		return nil, errNoEngine
	}
	return InstanceEvent{Instance: *wire.Instance, Event: event}, nil
}

// decodeEndpoints decodes a change of the endpoint list. The page that it refers to
// must have been decoded before, unless the list is unavailable.
func (d *Decoder) decodeEndpoints(wire *wireMessage) (control.Event, error) {
	var kind control.EventKind
	switch wire.Change {
	case endpointsUpdated:
		kind = control.EndpointUpdate
	case endpointsReplaced, endpointsRestored:
		kind = control.EndpointSnapshot
	case endpointsUnavailable:
		return control.Event{Kind: control.EndpointListFailed}, nil
	default:
		return control.Event{}, fmt.Errorf("%w %q", errUnknownChange, wire.Change)
	}
	engines, ok := d.pages[wire.Page]
	if !ok {
		return control.Event{}, fmt.Errorf("%w %d", errNoEndpointPage, wire.Page)
	}
	return control.Event{Kind: kind, Engines: engines}, nil
}

func decodeRequestArrived(wire *wireMessage) (control.Event, error) {
	if wire.Class < 0 || wire.Tenant < 0 {
		return control.Event{}, errNegativeClass
	}
	event := control.Event{
		Kind:         control.RequestArrived,
		RequestID:    wire.RequestID,
		Class:        wire.Class,
		Tenant:       wire.Tenant,
		Key:          wire.OrderingKey,
		DeadlineAtMS: wire.DeadlineAtMS,
		MemoryMB:     wire.MemoryMB,
		Dataset:      wire.Dataset,
	}
	if wire.Flags&workEstimateValid != 0 {
		event.WorkMS = wire.WorkMS
	}
	return event, nil
}

func decodeRequestAbandoned(wire *wireMessage) (control.Event, error) {
	return control.Event{Kind: control.RequestAbandoned, RequestID: wire.RequestID}, nil
}

func decodeAttemptStatus(wire *wireMessage) (control.Event, error) {
	event := control.Event{RequestID: wire.RequestID, Attempt: wire.Attempt, Engine: wire.Engine}
	switch wire.Status {
	case statusProgress:
		event.Kind = control.AttemptProgress
		event.Progress = wire.StatusValue
	case statusShortOfMemory:
		event.Kind = control.AttemptShortOfMemory
		event.MissingMemoryMB = wire.StatusValue
	case statusBlocked:
		event.Kind = control.AttemptBlocked
		event.BlockedOn = control.BlockedOn(wire.StatusValue)
	default:
		return control.Event{}, fmt.Errorf("%w %d", errUnknownStatus, wire.Status)
	}
	return event, nil
}

func decodeStreamOpened(wire *wireMessage) (control.Event, error) {
	return control.Event{
		Kind:      control.StreamOpened,
		RequestID: wire.RequestID,
		Attempt:   wire.Attempt,
		Engine:    wire.Engine,
	}, nil
}

func decodeAttemptEnded(wire *wireMessage) (control.Event, error) {
	result, err := decodeResult(wire.Outcome)
	if err != nil {
		return control.Event{}, err
	}
	return control.Event{
		Kind:        control.AttemptEnded,
		RequestID:   wire.RequestID,
		Attempt:     wire.Attempt,
		Engine:      wire.Engine,
		Result:      result,
		ElapsedMS:   wire.ElapsedMS,
		RequestDone: wire.RequestDone,
		WorkMS:      wire.Cost.workMS(),
		MemoryMB:    wire.Cost.memoryMB(),
		LoadReport:  decodeLoadReport(wire.LoadReport),
	}, nil
}

func decodeProbeEnded(wire *wireMessage) (control.Event, error) {
	result, err := decodeResult(wire.Outcome)
	if err != nil {
		return control.Event{}, err
	}
	return control.Event{
		Kind:       control.ProbeEnded,
		Engine:     wire.Engine,
		Result:     result,
		ElapsedMS:  wire.ElapsedMS,
		LoadReport: decodeLoadReport(wire.LoadReport),
	}, nil
}

func decodeGossipReceived(wire *wireMessage) (control.Event, error) {
	return control.Event{Kind: control.GossipReceived, Peer: wire.Peer, Message: wire.Gossip}, nil
}

func decodeTimerFired(wire *wireMessage) (control.Event, error) {
	return control.Event{Kind: control.TimerFired, Timer: control.TimerName(wire.Timer)}, nil
}

func decodeResult(code int) (control.Result, error) {
	result, ok := results[code]
	if !ok {
		return 0, fmt.Errorf("%w %d", errUnknownOutcome, code)
	}
	return result, nil
}

// decodeLoadReport returns nil for an empty report. A value that is absent from the
// report is -1.
func decodeLoadReport(values map[string]float64) *control.LoadReport {
	if len(values) == 0 {
		return nil
	}
	value := func(name string) float64 {
		if v, ok := values[name]; ok {
			return v
		}
		return -1
	}
	return &control.LoadReport{
		InFlight:       value(reportInFlight),
		Queued:         value(reportQueued),
		BusyFraction:   value(reportBusyFraction),
		MemoryFraction: value(reportMemoryFraction),
		DiskFraction:   value(reportDiskFraction),
	}
}
