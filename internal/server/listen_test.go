package server

import (
	"net"
	"testing"
)

// closeAndDrain serves the connections in a listener's backlog before it closes.
func TestCloseAndDrain(t *testing.T) {
	l, err := listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	next, err := listen(l.Addr().String(), true)
	if err != nil {
		t.Fatalf("second listener on the address: %v", err)
	}
	if err := next.Close(); err != nil {
		t.Fatal(err)
	}
	var clients []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		clients = append(clients, c)
	}
	served := 0
	closeAndDrain(l, func(c net.Conn) {
		served++
		if _, err := c.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		_ = c.Close()
	})
	for _, c := range clients {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("connection from the backlog: %v", err)
		}
	}
	if served != 5 {
		t.Errorf("%d connections served, want 5", served)
	}
}
