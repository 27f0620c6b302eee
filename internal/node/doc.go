// Package node assembles the components of a node process and runs them until it is stopped.
package node
