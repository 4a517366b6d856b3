package mysql

import (
	"errors"
	"io"
	"slices"
)

// Result is an engine's complete reply to a statement: an OK packet, rows, or an error
// packet. The packets are forwarded to the client unchanged.
type Result struct {
	OK      []byte
	Columns [][]byte
	Rows    [][]byte
	Err     *Error

	binary    bool // Rows are in the binary protocol, as for prepared statements
	beganRows bool // the engine sent a number of columns, possibly followed by Err
	noEffect  bool // Err proves that the statement changed nothing
	rowBytes  int  // total size of Rows
}

// hasRows reports whether the statement succeeded with rows.
func (r *Result) hasRows() bool { return r.OK == nil && r.Err == nil }

// refused returns the result of a statement that did not begin to run.
func refused(err *Error) *Result { return &Result{Err: err, noEffect: true} }

var errResultTooLarge = errors.New("result is larger than the limit (result_mb)")

var errLocalFile = errors.New("engine requested a local file, which is not supported")

// readReply reads an engine's complete reply to a statement and determines what an error
// in it proves.
func (s *session) readReply(statement *Statement, maxBytes int) (*Result, error) {
	result, err := s.readResult(maxBytes)
	if err != nil {
		return nil, err
	}
	result.binary = statement.Prepared
	if result.Err != nil && !result.beganRows {
		result.noEffect = statement.scope.provesNoEffect(result.Err.Code)
	}
	return result, nil
}

// readResult reads an engine's complete reply to a statement.
func (s *session) readResult(maxBytes int) (*Result, error) {
	payload, err := s.stream.readPacket()
	if err != nil {
		return nil, err
	}
	if len(payload) == 0 {
		return nil, errProtocol
	}
	switch payload[0] {
	case okMark:
		return &Result{OK: slices.Clone(payload)}, nil
	case errMark:
		return &Result{Err: parseError(payload)}, nil
	case localFileMark:
		return nil, errLocalFile
	}
	r := payloadReader{rest: payload}
	columns, null := r.lengthEncodedInt()
	if r.malformed || null || columns == 0 || columns > maxColumns {
		return nil, errProtocol
	}
	result := &Result{beganRows: true}
	if err := s.readColumns(result, int(columns)); err != nil {
		return nil, err
	}
	if result.Err != nil {
		return result, nil
	}
	return s.readRows(result, maxBytes)
}

// readColumns reads the column definitions and the EOF packet after them. An error packet
// in their place ends the reply.
func (s *session) readColumns(result *Result, count int) error {
	for range count {
		payload, err := s.stream.readPacket()
		if err != nil {
			return err
		}
		if isError(payload) {
			result.Err = parseError(payload)
			return nil
		}
		result.Columns = append(result.Columns, slices.Clone(payload))
	}
	payload, err := s.stream.readPacket()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch {
	case isEOF(payload):
		return nil
	case isError(payload):
		result.Err = parseError(payload)
		return nil
	default:
		return errProtocol
	}
}

func (s *session) readRows(result *Result, maxBytes int) (*Result, error) {
	for {
		payload, err := s.stream.readPayload(maxBytes - result.rowBytes)
		if err != nil {
			return nil, err
		}
		if isEOF(payload) {
			return result, nil
		}
		if isError(payload) {
			return &Result{Err: parseError(payload), beganRows: true}, nil
		}
		result.rowBytes += len(payload)
		if result.rowBytes > maxBytes {
			return nil, errResultTooLarge
		}
		result.Rows = append(result.Rows, slices.Clone(payload))
	}
}
