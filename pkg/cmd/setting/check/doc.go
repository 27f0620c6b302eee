// Package check is the command that checks a change without applying it.
package check
