// Package root is the root of the command line.
package root
