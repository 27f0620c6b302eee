package peer

import (
	"fmt"
	"net/netip"
)

// DialError says that no stream to a node could be opened; nothing was sent.
type DialError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to node %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// BackoffError says that the last connection to a node failed and the next attempt is not due yet.
type BackoffError struct{}

func (e *BackoffError) Error() string {
	return "backing off after a failed attempt to connect to the node"
}

// ClosedError says that the pool or the session to a node is closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "connection to the node is closed" }

// ListenError says that an address cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
