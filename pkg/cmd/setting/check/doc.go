// Package check is the command that checks a change without making it.
package check
