// Package history is the command that shows the changes of a path.
package history
