// Package probe looks at a connection without reading from it.
package probe
