// Package peer sends and takes the short messages between front ends.
package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// most is the largest message that may be sent.
const most = 256

// Link is the socket for messages between front ends.
type Link struct {
	c    *net.UDPConn
	to   []netip.AddrPort
	from map[netip.AddrPort]int
}

// Open binds the socket. A message goes to all, or where that is empty to each
// peer but self.
func Open(how *net.ListenConfig, listen string, peers []string, all string, self int) (*Link, error) {
	l := &Link{from: map[netip.AddrPort]int{}}
	for i, p := range peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, err
		}
		if i == self {
			continue
		}
		l.from[addr] = i
		l.to = append(l.to, addr)
	}
	if all != "" {
		addr, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, err
		}
		l.to = []netip.AddrPort{addr}
	}
	c, err := how.ListenPacket(context.Background(), "udp", listen)
	if err != nil {
		return nil, err
	}
	l.c = c.(*net.UDPConn)
	return l, nil
}

// Send sends a message to all peers. It may be lost.
func (l *Link) Send(msg []byte) error {
	if len(msg) > most {
		return errors.New("message too long")
	}
	var first error
	for _, to := range l.to {
		if _, err := l.c.WriteToUDPAddrPort(msg, to); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Receive hands over messages until the socket is closed. What is too long or
// comes from elsewhere is dropped and counted by strange.
func (l *Link) Receive(heard func(peer int, msg []byte), strange func()) {
	var buf [most + 1]byte
	for {
		n, from, err := l.c.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			// Guards against errors that belong to an earlier send, as when a
			// peer's port is closed.
			time.Sleep(time.Millisecond)
			continue
		}
		k, ok := l.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > most {
			strange()
			continue
		}
		heard(k, slices.Clone(buf[:n]))
	}
}

// Close closes the socket.
func (l *Link) Close() error { return l.c.Close() }
