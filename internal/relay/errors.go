package relay

import "fmt"

// RedirectedError says that a node takes no further link and names others.
type RedirectedError struct {
	// FromRelay says that the other node is a relay that has no room.
	FromRelay  bool
	Alternates []string
}

func (e *RedirectedError) Error() string {
	return fmt.Sprintf("link refused, %d other nodes named", len(e.Alternates))
}

// ProtocolError says that a node sent an unexpected frame.
type ProtocolError struct {
	Expected string
}

func (e *ProtocolError) Error() string { return "unexpected frame in place of " + e.Expected }

// DetachedError says that the other side of a link has no way to a relay.
type DetachedError struct {
	Node string
}

func (e *DetachedError) Error() string { return "node " + e.Node + " has no way to a relay" }
