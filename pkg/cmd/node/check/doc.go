// Package check is the command that checks the settings file of a node.
package check
