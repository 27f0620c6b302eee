// Package run is the command that runs a node.
package run
