package simproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"dewhill/control"
)

// ErrMalformed is wrapped in each error of Decode.
var ErrMalformed = errors.New("malformed message")

// The faults of a message. The errors about a value that the protocol does not define
// wrap errUnknown.
var (
	errUnknown         = errors.New("unknown")
	errNoClockOrSerial = errors.New("no clock or serial number")
	errNoInstance      = errors.New("no instance number")
	errNoRequest       = errors.New("no request ID")
	errNoEngine        = errors.New("no engine ID")
	errNoSeed          = errors.New("no seed")
	errNoSettings      = errors.New("no settings")
	errNoEndpointPage  = errors.New("no endpoint page")
	errNegativeClass   = errors.New("negative class or tenant")
	errUnknownVerb     = fmt.Errorf("%w verb", errUnknown)
	errUnknownOutcome  = fmt.Errorf("%w outcome", errUnknown)
	errUnknownStatus   = fmt.Errorf("%w topic", errUnknown)
	errUnknownState    = fmt.Errorf("%w mode", errUnknown)
	errUnknownChange   = fmt.Errorf("%w scope", errUnknown)
)

// Decoder decodes the lines of one connection, in order. It stores the pages of
// endpoints that later lines refer to by their numbers. The zero value is ready to use.
type Decoder struct {
	pages map[int][]control.EngineInfo // by number
}

// Decode decodes a line. Its errors wrap ErrMalformed and include the line's verb.
// Unknown keys are skipped. Callers must not change the engines of an InstanceEvent:
// later events may share them.
func (d *Decoder) Decode(line []byte) (Message, error) {
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		name := string(wire.Verb)
		if name == "" {
			name = "line without a verb"
		}
		return nil, fmt.Errorf("%w %s: %w", ErrMalformed, name, err)
	}
	message, err := d.decode(&wire)
	if err != nil {
		return nil, fmt.Errorf("%w %q: %w", ErrMalformed, wire.Verb, err)
	}
	return message, nil
}

func (d *Decoder) decode(wire *wireMessage) (Message, error) {
	switch wire.Verb {
	case verbBatchStart:
		return decodeBatchStart(wire)
	case verbBatchEnd:
		return BatchEnd{}, nil
	case verbEndpointPage:
		return d.decodeEndpointPage(wire)
	case verbStartInstance:
		return decodeStartInstance(wire)
	case verbStopInstance:
		return decodeStopInstance(wire)
	case verbEndpoints:
		return decodeEvent(wire, eventDecoder{decode: d.decodeEndpoints})
	default:
		decoder, ok := eventDecoders[wire.Verb]
		if !ok {
			return nil, errUnknownVerb
		}
		return decodeEvent(wire, decoder)
	}
}

func decodeBatchStart(wire *wireMessage) (Message, error) {
	if wire.NowMS == nil || wire.Serial == nil {
		return nil, errNoClockOrSerial
	}
	return BatchStart{NowMS: *wire.NowMS, Serial: *wire.Serial}, nil
}

func (d *Decoder) decodeEndpointPage(wire *wireMessage) (Message, error) {
	engines := make([]control.EngineInfo, 0, len(wire.Entries))
	for i := range wire.Entries {
		engine, err := decodeEndpoint(&wire.Entries[i])
		if err != nil {
			return nil, err
		}
		engines = append(engines, engine)
	}
	if d.pages == nil {
		d.pages = make(map[int][]control.EngineInfo)
	}
	d.pages[wire.Page] = engines
	return EndpointPage{}, nil
}

func decodeEndpoint(entry *wireEndpoint) (control.EngineInfo, error) {
	if entry.ID == "" {
		return control.EngineInfo{}, errNoEngine
	}
	engine := control.EngineInfo{
		ID:          entry.ID,
		Zone:        entry.Zone,
		Kind:        entry.Kind,
		Cell:        entry.Cell,
		Size:        entry.Size,
		StartedAtMS: entry.StartedAtMS,
	}
	switch entry.State {
	case endpointUp:
	case endpointDraining:
		engine.Draining = true
	case endpointRemoved:
		engine.Removed = true
	default:
		return control.EngineInfo{}, fmt.Errorf("%w %q", errUnknownState, entry.State)
	}
	return engine, nil
}

func decodeStartInstance(wire *wireMessage) (Message, error) {
	if wire.Instance == nil {
		return nil, errNoInstance
	}
	seed, err := decodeSeed(wire.Seed)
	if err != nil {
		return nil, err
	}
	if len(wire.Settings) == 0 {
		return nil, errNoSettings
	}
	var settings Settings
	if err := json.Unmarshal(wire.Settings, &settings); err != nil {
		return nil, err
	}
	decisionSettings, err := settings.Control()
	if err != nil {
		return nil, err
	}
	return StartInstance{Instance: *wire.Instance, Seed: seed, Settings: decisionSettings}, nil
}

// decodeSeed accepts any 64-bit integer, signed or unsigned.
func decodeSeed(number json.Number) (uint64, error) {
	if seed, err := strconv.ParseUint(number.String(), 10, 64); err == nil {
		return seed, nil
	}
	seed, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil {
		return 0, errNoSeed
	}
	return uint64(seed), nil
}

func decodeStopInstance(wire *wireMessage) (Message, error) {
	if wire.Instance == nil {
		return nil, errNoInstance
	}
	return StopInstance{Instance: *wire.Instance}, nil
}
