package probe

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// State is what a connection has to offer to its next read.
type State int

// The states of a connection.
const (
	// Quiet means that there is nothing to read, or that the connection cannot be looked at.
	Quiet State = iota
	// Readable means that the remote side has sent data.
	Readable
	// Closed means that the remote side has closed or reset the connection and all it sent was read.
	Closed
)

// Look returns the state of a connection; data that the caller of Look has buffered is not considered.
func Look(conn net.Conn) State {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN):
			state = Quiet
		case peekErr == nil && n > 0:
			state = Readable
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}
