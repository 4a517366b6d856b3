package server

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	addressInUseTimeout       = 5 * time.Second // for another process to free its address
	addressInUseRetryInterval = 20 * time.Millisecond
)

// listenConfig returns the configuration for opening sockets. If shared is true, two
// processes of one front end may bind the same address, as in an upgrade.
func listenConfig(shared bool) *net.ListenConfig {
	if !shared {
		return &net.ListenConfig{}
	}
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, optionErr)
	}}
}

// listen opens a TCP listener. It waits for an address that is still in use.
func listen(address string, shared bool) (net.Listener, error) {
	return retryAddressInUse(func() (net.Listener, error) {
		return listenConfig(shared).Listen(context.Background(), "tcp", address)
	})
}

// retryAddressInUse calls open, and retries for addressInUseTimeout while the address is
// in use: the previous process of the front end may still be shutting down.
func retryAddressInUse[T any](open func() (T, error)) (T, error) {
	deadline := time.Now().Add(addressInUseTimeout)
	for {
		opened, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return opened, err
		}
		time.Sleep(addressInUseRetryInterval)
	}
}

// closeAndDrain closes a listener and serves the connections that waited in its backlog.
// The system has already accepted them for this process: if they were closed with the
// listener, they would be reset before any request was read.
func closeAndDrain(listener net.Listener, serve func(net.Conn)) {
	waiting := acceptBacklog(listener)
	_ = listener.Close()
	for _, conn := range waiting {
		serve(conn)
	}
}

// acceptBacklog accepts all connections in the backlog, without waiting for more.
func acceptBacklog(listener net.Listener) []net.Conn {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	var waiting []net.Conn
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed: then no connection waits
		for {
			client, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			if conn, err := toConn(client); err == nil {
				waiting = append(waiting, conn)
			}
		}
	})
	return waiting
}

// toConn converts a descriptor to a connection. It takes ownership of the descriptor.
func toConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "client")
	defer func() { _ = file.Close() }() // FileConn duplicates the descriptor
	return net.FileConn(file)
}
