// Package factory holds what all commands share: streams, the client, output and exit codes.
package factory
