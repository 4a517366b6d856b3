package lingeringclose

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	longLinger = time.Minute // longer than any test runs
	testLimit  = 1 << 20
)

// connect returns the server's and the client's end of a TCP connection.
func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server, client
}

// TestResponseSurvivesUnreadInput checks that a client whose input was not read
// completely receives the whole response and an orderly close instead of a reset.
func TestResponseSurvivesUnreadInput(t *testing.T) {
	server, client := connect(t)
	input := make([]byte, 64<<10)
	if _, err := client.Write(input); err != nil {
		t.Fatal(err)
	}
	response := bytes.Repeat([]byte("response"), 1000)
	if _, err := server.Write(response); err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		CloseWrite(server, longLinger)
		DiscardInput(server, testLimit)
		_ = server.Close()
	}()
	received, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(received, response) {
		t.Errorf("received %d bytes of a response of %d, error %v", len(received), len(response), err)
	}
	if _, err := client.Write(input); err != nil {
		t.Errorf("the connection was reset while the client was still sending: %v", err)
	}
	_ = client.Close()
	<-closed
}

// TestLingerIsBounded checks that DiscardInput returns at the read deadline if the
// client neither closes nor sends, and at the byte limit if the client keeps
// sending.
func TestLingerIsBounded(t *testing.T) {
	server, _ := connect(t)
	CloseWrite(server, time.Millisecond)
	DiscardInput(server, testLimit)
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the deadline: error %v, want %v", err, os.ErrDeadlineExceeded)
	}

	server, client := connect(t)
	const rest = "rest"
	go func() {
		_, _ = client.Write(make([]byte, testLimit))
		_, _ = io.WriteString(client, rest)
	}()
	CloseWrite(server, longLinger)
	DiscardInput(server, testLimit)
	received := make([]byte, len(rest))
	if _, err := io.ReadFull(server, received); err != nil || string(received) != rest {
		t.Errorf("read after the limit: %q, error %v; want %q", received, err, rest)
	}
}

// TestConnectionsWithoutWriteSideAreClosed checks that CloseWrite closes a
// connection that does not support half-close.
func TestConnectionsWithoutWriteSideAreClosed(t *testing.T) {
	server, client := net.Pipe()
	CloseWrite(server, longLinger)
	DiscardInput(server, testLimit)
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer reads error %v, want %v", err, io.EOF)
	}
}
