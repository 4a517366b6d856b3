// Package descriptors recognizes errors caused by a shortage of file descriptors. Such
// a shortage is a fault of this process or its host, not of the remote end, and ends
// when connections are closed.
package descriptors

import (
	"errors"
	"syscall"
)

// Exhausted reports whether an error means that the process (EMFILE) or the system
// (ENFILE) has no free file descriptor.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
