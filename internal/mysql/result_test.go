package mysql

import (
	"bytes"
	"errors"
	"testing"

	"dewhill/internal/testprocess"
)

// replyWithRow returns a session whose engine replies with one row of this size.
func replyWithRow(t *testing.T, rowBytes int) (s *session, row []byte) {
	t.Helper()
	here, there := testprocess.ConnectedPair(t)
	engine := newStream(there)
	row = bytes.Repeat([]byte("r"), rowBytes)
	engine.queuePacket(appendLengthEncodedInt(nil, 1))
	engine.queuePacket(parameterColumn)
	engine.queuePacket(eofPacket())
	engine.queuePacket(row)
	engine.queuePacket(eofPacket())
	go func() { _ = engine.flush() }() // fails if the session closes the connection first
	s = &session{stream: newStream(here)}
	s.stream.maxPacketBytes = maxEnginePacketBytes
	return s, row
}

// TestRowOfSeveralPackets guards against a row of 16 MB or more that is given on as two
// rows, the second of them the rest of the first.
func TestRowOfSeveralPackets(t *testing.T) {
	const limit = 40 << 20
	sizes := []int{
		maxPayloadBytes - 1, maxPayloadBytes, maxPayloadBytes + 1, 2 * maxPayloadBytes, 2*maxPayloadBytes + 7,
	}
	for _, rowBytes := range sizes {
		s, row := replyWithRow(t, rowBytes)
		result, err := s.readResult(limit)
		if err != nil {
			t.Fatalf("row of %d bytes: %v", rowBytes, err)
		}
		if len(result.Rows) != 1 || !bytes.Equal(result.Rows[0], row) || result.rowBytes != rowBytes {
			t.Errorf("row of %d bytes: %d rows, %d bytes", rowBytes, len(result.Rows), result.rowBytes)
		}
	}
}

// TestRowOfSeveralPacketsIsLimited checks that a row beyond the limit of a result is an
// error before the whole row is read.
func TestRowOfSeveralPacketsIsLimited(t *testing.T) {
	s, _ := replyWithRow(t, 4*maxPayloadBytes)
	if _, err := s.readResult(maxPayloadBytes - 1); !errors.Is(err, errResultTooLarge) {
		t.Errorf("error %v, want %v", err, errResultTooLarge)
	}
	if s.stream.sequence > 5 { // the number of columns, a column, the EOF packet and one part of the row
		t.Errorf("%d packets were read", s.stream.sequence)
	}
}
