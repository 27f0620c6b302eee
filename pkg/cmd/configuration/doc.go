// Package configuration has the commands that look at an operator's configuration before it is sent.
package configuration
