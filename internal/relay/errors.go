package relay

import "fmt"

// RedirectedError says that a node did not accept a link and named other nodes to try.
type RedirectedError struct {
	// FromRelay means that the node runs as a relay.
	FromRelay  bool
	Alternates []string
}

func (e *RedirectedError) Error() string {
	return fmt.Sprintf("link redirected to %d other nodes", len(e.Alternates))
}

// ProtocolError says that a node violated the link protocol.
type ProtocolError struct {
	Expected string
}

func (e *ProtocolError) Error() string { return "link protocol violated: expected " + e.Expected }

// DetachedError says that a parent has no path to a relay, or a longer one than maxDepth allows.
type DetachedError struct {
	Node string
}

func (e *DetachedError) Error() string {
	return "node " + e.Node + " has no path to a relay, or one that exceeds the maximum depth"
}
