// Package set is the command that changes settings.
package set
