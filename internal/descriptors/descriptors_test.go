package descriptors

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestExhausted checks which errors of a dial mean a shortage of descriptors.
func TestExhausted(t *testing.T) {
	dialError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
	}
	for _, test := range []struct {
		err  error
		want bool
	}{
		{dialError(syscall.EMFILE), true},
		{dialError(syscall.ENFILE), true},
		{fmt.Errorf("engine s-1: %w", dialError(syscall.EMFILE)), true},
		{dialError(syscall.ECONNREFUSED), false},
		{dialError(syscall.ENOBUFS), false},
		{dialError(syscall.EADDRNOTAVAIL), false},
		{net.ErrClosed, false},
		{errors.New("too many open files"), false},
		{nil, false},
	} {
		if got := Exhausted(test.err); got != test.want {
			t.Errorf("Exhausted(%v) = %v, want %v", test.err, got, test.want)
		}
	}
}
