// Package move holds the commands about moves between versions.
package move
