// Package list is the command that lists moves.
package list
