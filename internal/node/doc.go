// Package node wires the parts of one node process and runs them until they are stopped.
package node
