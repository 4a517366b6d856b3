// Package my has a small MySQL client and a small MySQL engine for the cases of this
// review. Both use only what the MySQL client/server protocol 4.1 documents.
package my

import (
	"bufio"
	"crypto/sha1"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Capability flags.
const (
	longPassword  = 1 << 0
	connectWithDB = 1 << 3
	protocol41    = 1 << 9
	transactions  = 1 << 13
	secureConn    = 1 << 15
	pluginAuth    = 1 << 19
)

// Commands.
const (
	comQuit    = 0x01
	comInitDB  = 0x02
	comQuery   = 0x03
	comPing    = 0x0e
	comPrepare = 0x16
	comExecute = 0x17
	comClose   = 0x19
)

const nativePassword = "mysql_native_password"

var errMalformed = errors.New("malformed packet")

// packets reads and writes packets on a connection.
type packets struct {
	conn net.Conn
	r    *bufio.Reader
	seq  byte
}

func newPackets(conn net.Conn) *packets { return &packets{conn: conn, r: bufio.NewReader(conn)} }

func (p *packets) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(p.r, head[:]); err != nil {
		return nil, err
	}
	p.seq = head[3] + 1
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(p.r, payload)
	return payload, err
}

func (p *packets) write(payloads ...[]byte) error {
	var b []byte
	for _, payload := range payloads {
		n := len(payload)
		b = append(b, byte(n), byte(n>>8), byte(n>>16), p.seq)
		b = append(b, payload...)
		p.seq++
	}
	_, err := p.conn.Write(b)
	return err
}

// Error is an error packet.
type Error struct {
	Code    uint16
	State   string
	Message string
}

func (e *Error) Error() string { return fmt.Sprintf("error %d (%s): %s", e.Code, e.State, e.Message) }

func (e *Error) packet() []byte {
	b := []byte{0xff, byte(e.Code), byte(e.Code >> 8), '#'}
	return append(append(b, e.State...), e.Message...)
}

func parseError(b []byte) error {
	if len(b) < 3 {
		return errMalformed
	}
	e := &Error{Code: binary.LittleEndian.Uint16(b[1:])}
	rest := b[3:]
	if len(rest) >= 6 && rest[0] == '#' {
		e.State, rest = string(rest[1:6]), rest[6:]
	}
	e.Message = string(rest)
	return e
}

// CodeOf returns the code of an error packet: 0 if err is nil, and -1 if it is no error
// packet.
func CodeOf(err error) int {
	var e *Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return int(e.Code)
	default:
		return -1
	}
}

func lenenc(s string) []byte {
	n := len(s)
	if n < 251 {
		return append([]byte{byte(n)}, s...)
	}
	return append([]byte{0xfc, byte(n), byte(n >> 8)}, s...)
}

// takeLenenc reads a length-encoded string of less than 64 KB.
func takeLenenc(b []byte) (s string, rest []byte, err error) {
	if len(b) == 0 {
		return "", nil, errMalformed
	}
	n, skip := int(b[0]), 1
	if b[0] == 0xfc && len(b) >= 3 {
		n, skip = int(b[1])|int(b[2])<<8, 3
	} else if b[0] == 0xfb {
		return "NULL", b[1:], nil
	}
	if len(b) < skip+n {
		return "", nil, errMalformed
	}
	return string(b[skip : skip+n]), b[skip+n:], nil
}

func scramble(challenge []byte, password string) []byte {
	first := sha1.Sum([]byte(password))
	second := sha1.Sum(first[:])
	mixed := sha1.Sum(append(append([]byte{}, challenge...), second[:]...))
	for i := range mixed {
		mixed[i] ^= first[i]
	}
	return mixed[:]
}

// Client is a client's connection.
type Client struct {
	p    *packets
	Conn net.Conn
}

// Dial connects and logs in. database may be empty.
func Dial(addr, user, password, database string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{p: newPackets(conn), Conn: conn}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if err := c.logIn(user, password, database); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Client) logIn(user, password, database string) error {
	greeting, err := c.p.read()
	if err != nil {
		return err
	}
	if greeting[0] == 0xff {
		return parseError(greeting)
	}
	i := 1
	for i < len(greeting) && greeting[i] != 0 {
		i++
	}
	if len(greeting) < i+1+4+8+1+2+1+2+2+1+10+12 {
		return errMalformed
	}
	challenge := append([]byte{}, greeting[i+5:i+13]...)
	challenge = append(challenge, greeting[i+32:i+44]...)
	flags := uint32(longPassword | protocol41 | transactions | secureConn | pluginAuth)
	if database != "" {
		flags |= connectWithDB
	}
	b := binary.LittleEndian.AppendUint32(nil, flags)
	b = binary.LittleEndian.AppendUint32(b, 1<<24)
	b = append(b, 45)
	b = append(b, make([]byte, 23)...)
	b = append(append(b, user...), 0, 20)
	b = append(b, scramble(challenge, password)...)
	if database != "" {
		b = append(append(b, database...), 0)
	}
	b = append(append(b, nativePassword...), 0)
	if err := c.p.write(b); err != nil {
		return err
	}
	answer, err := c.p.read()
	if err != nil {
		return err
	}
	if answer[0] != 0 {
		return parseError(answer)
	}
	return nil
}

// Query sends a statement as text and returns the rows of its result, if it has any.
// After the timeout the connection is not usable any more.
func (c *Client) Query(sql string, timeout time.Duration) (rows [][]string, err error) {
	_ = c.Conn.SetDeadline(time.Now().Add(timeout))
	c.p.seq = 0
	if err := c.p.write(append([]byte{comQuery}, sql...)); err != nil {
		return nil, err
	}
	first, err := c.p.read()
	if err != nil {
		return nil, err
	}
	switch first[0] {
	case 0:
		return nil, nil
	case 0xff:
		return nil, parseError(first)
	}
	columns := int(first[0])
	for range columns + 1 { // the definitions and the EOF packet
		if _, err := c.p.read(); err != nil {
			return nil, err
		}
	}
	for {
		b, err := c.p.read()
		switch {
		case err != nil:
			return nil, err
		case b[0] == 0xff:
			return nil, parseError(b)
		case b[0] == 0xfe && len(b) < 9:
			return rows, nil
		}
		var row []string
		for range columns {
			var s string
			if s, b, err = takeLenenc(b); err != nil {
				return nil, err
			}
			row = append(row, s)
		}
		rows = append(rows, row)
	}
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }
