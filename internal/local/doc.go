// Package local registers the local upstreams of a node from their announcements and sends calls to them.
package local
