package mysql

import (
	"errors"
	"fmt"
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

	rowBytes int // total size of Rows
}

var errLocalFile = errors.New("engine requested a local file, which is not supported")

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
	result := &Result{}
	if err := s.readColumns(result, int(columns)); err != nil {
		return nil, err
	}
	return s.readRows(result, maxBytes)
}

func (s *session) readColumns(result *Result, count int) error {
	for range count {
		payload, err := s.stream.readPacket()
		if err != nil {
			return err
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
	if !isEOF(payload) {
		return errProtocol
	}
	return nil
}

func (s *session) readRows(result *Result, maxBytes int) (*Result, error) {
	for {
		payload, err := s.stream.readPacket()
		if err != nil {
			return nil, err
		}
		if isEOF(payload) {
			return result, nil
		}
		if isError(payload) {
			return &Result{Err: parseError(payload)}, nil
		}
		result.rowBytes += len(payload)
		if result.rowBytes > maxBytes {
			return nil, fmt.Errorf("result is larger than the limit of %d bytes", maxBytes)
		}
		result.Rows = append(result.Rows, slices.Clone(payload))
	}
}
