package mysql

import (
	"encoding/binary"
	"fmt"
	"slices"
)

const maxHandles = 64 // of prepared statements on one session

// runPrepared runs a prepared statement. If the engine has lost the statement's handle, or
// asks for the statement to be prepared again, nothing ran, and the session does so once.
func (s *session) runPrepared(a *attempt, maxResultBytes int, now func() float64) (*Result, error) {
	result, err := s.executePrepared(a, maxResultBytes, now)
	if err != nil || !result.lostHandle() {
		return result, err
	}
	if err := s.closeHandle(statementKey(a.statement)); err != nil {
		return nil, notWrittenError{err}
	}
	a.markUnwritten()
	result, err = s.executePrepared(a, maxResultBytes, now)
	if err == nil && result.lostHandle() {
		return nil, notWrittenError{result.Err} // the engine is not well
	}
	return result, err
}

// executePrepared prepares a statement on the session if necessary, and executes it. If
// the connection breaks before the execute command is written, the statement did not run,
// so even a load can be retried on another engine.
func (s *session) executePrepared(a *attempt, maxResultBytes int, now func() float64) (*Result, error) {
	handle, engineErr, err := s.findHandle(a.statement)
	if err != nil {
		return nil, notWrittenError{err}
	}
	if engineErr != nil {
		if engineErr.meansUnavailable() {
			return nil, notWrittenError{engineErr}
		}
		return refused(engineErr), nil
	}
	if err := a.markWritten(now()); err != nil {
		return nil, err
	}
	s.counters.Executes++
	if err := s.stream.sendCommand(comStmtExecute, encodeExecute(handle, a.statement.Params)); err != nil {
		return nil, err
	}
	return s.readReply(a.statement, maxResultBytes)
}

// lostHandle reports whether the engine did not run a prepared statement because it no
// longer has the handle, or because the statement must be prepared again.
func (r *Result) lostHandle() bool {
	return r.noEffect && (r.Err.Code == codeUnknownHandle || r.Err.Code == codeNeedsReprepare)
}

// findHandle returns the engine's handle of a statement, which it prepares if
// necessary.
func (s *session) findHandle(statement *Statement) (handle uint32, engineErr *Error, err error) {
	handle, found := s.handles[statementKey(statement)]
	if found {
		return handle, nil, nil
	}
	return s.prepare(statement)
}

func (s *session) prepare(statement *Statement) (handle uint32, engineErr *Error, err error) {
	if len(s.handleOrder) >= maxHandles {
		if err := s.closeHandle(s.handleOrder[0]); err != nil {
			return 0, nil, err
		}
	}
	s.counters.Prepares++
	payload, err := s.stream.roundTrip(comStmtPrepare, []byte(statement.SQL))
	if err != nil {
		return 0, nil, err
	}
	if isError(payload) {
		return 0, parseError(payload), nil
	}
	prepared, err := parsePrepareOK(payload)
	if err != nil {
		return 0, nil, err
	}
	for _, definitions := range []int{prepared.params, prepared.columns} {
		if err := s.skipDefinitions(definitions); err != nil {
			return 0, nil, err
		}
	}
	if prepared.params != len(statement.Params) {
		message := fmt.Sprintf("%d values for %d parameters", len(statement.Params), prepared.params)
		return 0, &Error{codeWrongArguments, "HY000", message}, nil
	}
	key := statementKey(statement)
	s.handles[key] = prepared.handle
	s.handleOrder = append(s.handleOrder, key)
	return prepared.handle, nil, nil
}

// prepareOK is an engine's reply to a prepare command.
type prepareOK struct {
	handle  uint32
	columns int
	params  int
}

func parsePrepareOK(payload []byte) (prepareOK, error) {
	r := payloadReader{rest: payload}
	r.take(1) // okMark
	var prepared prepareOK
	prepared.handle = uint32(r.uint(4))
	prepared.columns = int(r.uint(2))
	prepared.params = int(r.uint(2))
	if r.malformed {
		return prepareOK{}, errProtocol
	}
	return prepared, nil
}

// closeHandle closes the handle of a statement, given by its key, if there is one.
func (s *session) closeHandle(key string) error {
	handle, found := s.handles[key]
	if !found {
		return nil
	}
	argument := binary.LittleEndian.AppendUint32(nil, handle)
	if err := s.stream.sendCommand(comStmtClose, argument); err != nil {
		return err
	}
	s.counters.HandlesClosed++
	delete(s.handles, key)
	s.handleOrder = slices.DeleteFunc(s.handleOrder, func(k string) bool { return k == key })
	return nil
}

// skipDefinitions reads and discards column definitions and the EOF packet after
// them.
func (s *session) skipDefinitions(count int) error {
	if count == 0 {
		return nil
	}
	for range count + 1 {
		if _, err := s.stream.readPacket(); err != nil {
			return err
		}
	}
	return nil
}
