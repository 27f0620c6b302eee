// Package status is the command that shows what a node runs.
package status
