package mysql

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"dewhill/internal/lingeringclose"
	"dewhill/internal/readbuffer"
)

const (
	headerBytes     = 4
	maxPayloadBytes = 1<<24 - 1              // of one packet
	maxIdleBytes    = 64 << 10               // an empty buffer larger than this is released
	closeLinger     = 250 * time.Millisecond // how long input is read after the last packet was sent
)

var errProtocol = errors.New("malformed packet")

// bufferSizes are chosen for commands of a few hundred bytes and results of many
// rows.
var bufferSizes = readbuffer.Sizes{InitialBytes: 2048, MaxIdleBytes: maxIdleBytes}

// stream reads and writes packets on a connection.
type stream struct {
	conn           net.Conn
	sequence       byte // sequence number of the next packet
	buffer         readbuffer.Buffer
	queued         []byte // packets to send in one write
	maxPacketBytes int
}

func newStream(conn net.Conn) *stream {
	return &stream{
		conn:           conn,
		buffer:         readbuffer.New(conn, bufferSizes),
		maxPacketBytes: MaxPacketBytes,
	}
}

// readPacket returns the payload of the next packet. The payload is valid until the
// next call. If a packet is longer than the limit, the error is an *Error. After a read
// deadline the call can be repeated: what has been read of the packet stays buffered.
func (s *stream) readPacket() ([]byte, error) {
	if err := s.buffer.FillTo(headerBytes); err != nil {
		return nil, err
	}
	header := s.buffer.Peek()[:headerBytes]
	length := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	if length > s.maxPacketBytes {
		message := fmt.Sprintf("a packet may hold at most %d bytes", s.maxPacketBytes)
		return nil, &Error{codePacketTooLarge, "08S01", message}
	}
	if header[3] != s.sequence {
		return nil, fmt.Errorf("%w: sequence number %d, want %d", errProtocol, header[3], s.sequence)
	}
	err := s.buffer.FillTo(headerBytes + length)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	s.sequence++
	packet := s.buffer.Next(headerBytes + length)
	return packet[headerBytes:], nil
}

// readPayload returns the next payload, which may be split into several packets. The
// payload is valid until the next call. A payload that is split and longer than the limit
// gives errResultTooLarge.
func (s *stream) readPayload(maxBytes int) ([]byte, error) {
	packet, err := s.readPacket()
	if err != nil || len(packet) < maxPayloadBytes {
		return packet, err
	}
	payload := slices.Clone(packet)
	for len(packet) == maxPayloadBytes {
		if len(payload) > maxBytes {
			return nil, errResultTooLarge
		}
		if packet, err = s.readPacket(); err != nil {
			return nil, err
		}
		payload = append(payload, packet...)
	}
	return payload, nil
}

// queuePacket queues a payload to be sent, split into several packets if it is too
// long for one.
func (s *stream) queuePacket(payload []byte) {
	for {
		n := min(len(payload), maxPayloadBytes)
		s.queued = append(s.queued, byte(n), byte(n>>8), byte(n>>16), s.sequence)
		s.queued = append(s.queued, payload[:n]...)
		s.sequence++
		if n < maxPayloadBytes {
			return
		}
		payload = payload[n:]
	}
}

// flush sends the queued packets in one write.
func (s *stream) flush() error {
	_, err := s.conn.Write(s.queued)
	s.queued = s.queued[:0]
	if cap(s.queued) > maxIdleBytes {
		s.queued = nil
	}
	return err
}

// sendCommand sends a command packet, which begins a new sequence.
func (s *stream) sendCommand(command byte, argument []byte) error {
	s.sequence = 0
	s.queuePacket(append([]byte{command}, argument...))
	return s.flush()
}

// roundTrip sends a command and returns the first packet of the reply.
func (s *stream) roundTrip(command byte, argument []byte) ([]byte, error) {
	if err := s.sendCommand(command, argument); err != nil {
		return nil, err
	}
	return s.readPacket()
}

// closeGracefully closes the connection in such a way that the other side can still
// receive the last packets.
func (s *stream) closeGracefully() {
	lingeringclose.CloseWrite(s.conn, closeLinger)
	lingeringclose.DiscardInput(s.conn, MaxPacketBytes)
	_ = s.conn.Close()
}
