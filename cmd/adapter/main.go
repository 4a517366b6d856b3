// Adapter runs gateways for the simulator: it reads lines of the simulator's protocol
// from standard input and writes the gateways' actions to standard output. If it cannot
// read its input, it writes one line to standard error and exits with status 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"dewhill/control"
	"dewhill/internal/simproto"
)

// inputBufferBytes is the size of the input buffer. Lines may be longer.
const inputBufferBytes = 1 << 20

var (
	errInputEndedInBatch = errors.New("input ended within a batch")
	errMalformedBatch    = errors.New("malformed batch: MARK and END do not alternate")
	errNotStarted        = errors.New("message to an instance that was not started")
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve replies to batches until the input ends.
func serve(r io.Reader, w io.Writer) error {
	input := bufio.NewReaderSize(r, inputBufferBytes)
	session := session{gateways: map[int]*control.Gateway{}, output: w}
	for {
		line, err := input.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read input: %w", err)
		}
		if len(line) == 0 {
			return session.end()
		}
		if err := session.handleLine(line); err != nil {
			return err
		}
	}
}

// session is the state of a connection to the simulator.
type session struct {
	decoder  simproto.Decoder
	gateways map[int]*control.Gateway // by instance number
	output   io.Writer

	inBatch bool
	batch   simproto.BatchStart // the current batch, or the last one
	reply   []byte              // to batch
}

// end returns an error if the input has ended within a batch.
func (s *session) end() error {
	if s.inBatch {
		return errInputEndedInBatch
	}
	return nil
}

func (s *session) handleLine(line []byte) error {
	message, err := s.decoder.Decode(line)
	if err != nil {
		return err
	}
	if _, starts := message.(simproto.BatchStart); starts == s.inBatch {
		return fmt.Errorf("%w at %.60q", errMalformedBatch, line)
	}
	switch message := message.(type) {
	case simproto.BatchStart:
		s.inBatch = true
		s.batch = message
		s.reply = s.reply[:0]
	case simproto.BatchEnd:
		s.inBatch = false
		if _, err := s.output.Write(simproto.AppendOK(s.reply, s.batch.Serial)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	case simproto.StartInstance:
		s.gateways[message.Instance] = control.New(message.Settings, message.Seed)
	case simproto.StopInstance:
		delete(s.gateways, message.Instance)
	case simproto.EndpointPage:
	case simproto.InstanceEvent:
		gateway := s.gateways[message.Instance]
		if gateway == nil {
			return fmt.Errorf("%w: instance %d", errNotStarted, message.Instance)
		}
		s.reply = appendActions(s.reply, gateway, s.batch.NowMS, &message)
	default:
		return fmt.Errorf("message of unknown type %T", message)
	}
	return nil
}

// appendActions appends the actions with which a gateway responds to an event. If the
// gateway panics, it appends the protocol's crash message in place of any actions, so
// that the simulator's run ends with the text of the panic.
func appendActions(reply []byte, gateway *control.Gateway, nowMS float64, event *simproto.InstanceEvent) (out []byte) {
	defer func() {
		if v := recover(); v != nil {
			out = simproto.AppendCrash(reply, event.Instance, fmt.Sprint(v))
		}
	}()
	out = reply
	for _, action := range gateway.Handle(nowMS, event.Event) {
		out = simproto.AppendAction(out, event.Instance, &action)
	}
	return out
}
