// Package wait is the command that waits for the end of a move.
package wait
