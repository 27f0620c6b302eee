// Package get is the command that reads one path.
package get
