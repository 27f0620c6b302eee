// Package status is the command that shows the status of a node.
package status
