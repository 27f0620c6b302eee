// Package check is the command that checks an operator's configuration.
package check
