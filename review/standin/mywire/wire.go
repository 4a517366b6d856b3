// Package mywire has small stand-ins that speak the MySQL client/server protocol: a
// client and an engine. They use the text protocol with mysql_native_password.
package mywire

import (
	"bufio"
	"crypto/sha1"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	comQuit   = 0x01
	comInitDB = 0x02
	comQuery  = 0x03
	comPing   = 0x0e

	native = "mysql_native_password"

	// CLIENT_LONG_PASSWORD, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS,
	// SECURE_CONNECTION and PLUGIN_AUTH.
	capabilities = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19

	utf8mb4    = 45
	autocommit = 2
)

// packets reads and writes packets on a connection.
type packets struct {
	conn net.Conn
	in   *bufio.Reader
	seq  byte
}

func newPackets(conn net.Conn) *packets {
	return &packets{conn: conn, in: bufio.NewReader(conn)}
}

func (p *packets) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(p.in, head[:]); err != nil {
		return nil, err
	}
	n := int(head[0]) | int(head[1])<<8 | int(head[2])<<16
	if head[3] != p.seq {
		return nil, fmt.Errorf("sequence number %d, want %d", head[3], p.seq)
	}
	p.seq++
	body := make([]byte, n)
	_, err := io.ReadFull(p.in, body)
	return body, err
}

func (p *packets) append(out, body []byte) []byte {
	n := len(body)
	out = append(out, byte(n), byte(n>>8), byte(n>>16), p.seq)
	p.seq++
	return append(out, body...)
}

func (p *packets) write(bodies ...[]byte) error {
	var out []byte
	for _, body := range bodies {
		out = p.append(out, body)
	}
	_, err := p.conn.Write(out)
	return err
}

func scramble(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	one := sha1.Sum([]byte(password))
	two := sha1.Sum(one[:])
	mixed := sha1.Sum(slices.Concat(challenge, two[:]))
	for i := range mixed {
		mixed[i] ^= one[i]
	}
	return mixed[:]
}

func lenenc(b []byte, text string) []byte {
	switch n := len(text); {
	case n < 251:
		b = append(b, byte(n))
	case n < 1<<16:
		b = append(b, 0xfc, byte(n), byte(n>>8))
	default:
		b = append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(b, text...)
}

func takeLenenc(b []byte) (text string, rest []byte, err error) {
	short := errors.New("row is too short")
	if len(b) == 0 {
		return "", nil, short
	}
	n, skip := int(b[0]), 1
	switch b[0] {
	case 0xfb:
		return "NULL", b[1:], nil
	case 0xfc:
		skip = 3
	case 0xfd:
		skip = 4
	}
	if len(b) < skip {
		return "", nil, short
	}
	if skip > 1 {
		n = 0
		for i := skip - 1; i > 0; i-- {
			n = n<<8 | int(b[i])
		}
	}
	if len(b) < skip+n {
		return "", nil, short
	}
	return string(b[skip : skip+n]), b[skip+n:], nil
}

func okPacket() []byte { return []byte{0, 1, 0, autocommit, 0, 0, 0} }

func eofPacket() []byte { return []byte{0xfe, 0, 0, autocommit, 0} }

func errorPacket(code uint16, state, text string) []byte {
	b := []byte{0xff, byte(code), byte(code >> 8), '#'}
	return append(append(b, state...), text...)
}

// Reply is a server's answer to a statement.
type Reply struct {
	OK   bool   // an OK packet or rows
	Code uint16 // of an error packet
	Text string // of an error packet
	Rows [][]string
}

// String returns the reply in one line.
func (r *Reply) String() string {
	switch {
	case r.Code != 0:
		return fmt.Sprintf("error %d: %s", r.Code, r.Text)
	case len(r.Rows) > 0:
		return fmt.Sprintf("rows %v", r.Rows)
	default:
		return "OK"
	}
}

// Client is a client's connection.
type Client struct {
	Conn net.Conn
	p    *packets
}

// Dial connects and logs in. It has a timeout for both together.
func Dial(addr, user, password, database string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	c := &Client{Conn: conn, p: newPackets(conn)}
	if err := c.logIn(user, password, database); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("login: %w", err)
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Client) logIn(user, password, database string) error {
	greeting, err := c.p.read()
	if err != nil {
		return err
	}
	if len(greeting) > 0 && greeting[0] == 0xff {
		return errors.New(parseError(greeting).String())
	}
	end := slices.Index(greeting, 0)
	if end < 0 || len(greeting) < end+13 {
		return errors.New("greeting is too short")
	}
	rest := greeting[end+1+4:]
	challenge := slices.Clone(rest[:8])
	if rest = rest[8+1+2+1+2+2+1+10:]; len(rest) < 12 {
		return errors.New("greeting is too short")
	}
	challenge = append(challenge, rest[:12]...)
	b := binary.LittleEndian.AppendUint32(nil, capabilities)
	b = binary.LittleEndian.AppendUint32(b, 1<<24)
	b = append(b, utf8mb4)
	b = append(b, make([]byte, 23)...)
	b = append(append(b, user...), 0)
	auth := scramble(challenge, password)
	b = append(append(b, byte(len(auth))), auth...)
	b = append(append(b, database...), 0)
	b = append(append(b, native...), 0)
	if err := c.p.write(b); err != nil {
		return err
	}
	answer, err := c.p.read()
	switch {
	case err != nil:
		return err
	case len(answer) > 0 && answer[0] == 0:
		return nil
	case len(answer) > 0 && answer[0] == 0xff:
		return errors.New(parseError(answer).String())
	default:
		return errors.New("unexpected answer to the login")
	}
}

// Send writes a statement.
func (c *Client) Send(sql string) error {
	c.p.seq = 0
	return c.p.write(append([]byte{comQuery}, sql...))
}

// Receive reads the answer to a statement.
func (c *Client) Receive(timeout time.Duration) (*Reply, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = c.Conn.SetReadDeadline(time.Time{}) }()
	first, err := c.p.read()
	if err != nil {
		return nil, err
	}
	switch {
	case len(first) == 0:
		return nil, errors.New("empty packet")
	case first[0] == 0:
		return &Reply{OK: true}, nil
	case first[0] == 0xff:
		return parseError(first), nil
	}
	columns := int(first[0])
	for range columns + 1 {
		if _, err := c.p.read(); err != nil {
			return nil, err
		}
	}
	r := &Reply{OK: true}
	for {
		b, err := c.p.read()
		switch {
		case err != nil:
			return nil, err
		case len(b) > 0 && b[0] == 0xff:
			return parseError(b), nil
		case len(b) > 0 && b[0] == 0xfe && len(b) < 9:
			return r, nil
		}
		var row []string
		for range columns {
			var text string
			if text, b, err = takeLenenc(b); err != nil {
				return nil, err
			}
			row = append(row, text)
		}
		r.Rows = append(r.Rows, row)
	}
}

// Query sends a statement and reads the answer.
func (c *Client) Query(sql string, timeout time.Duration) (*Reply, error) {
	if err := c.Send(sql); err != nil {
		return nil, err
	}
	return c.Receive(timeout)
}

// Close closes the connection as a client that ends in order does.
func (c *Client) Close() {
	c.p.seq = 0
	_ = c.p.write([]byte{comQuit})
	_ = c.Conn.Close()
}

func parseError(b []byte) *Reply {
	r := &Reply{Code: 1105, Text: "short error packet"}
	if len(b) >= 3 {
		r.Code = binary.LittleEndian.Uint16(b[1:])
		r.Text = strings.TrimPrefix(string(b[3:]), "#")
	}
	return r
}
