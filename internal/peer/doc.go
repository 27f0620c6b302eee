// Package peer connects nodes to each other: one yamux session a pair, one stream a call or conversation.
package peer
