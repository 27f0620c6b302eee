// Package peer carries calls, links, evidence and invitations between nodes, each on a stream of a yamux session.
package peer
