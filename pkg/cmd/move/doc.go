// Package move holds the commands that follow moves between versions and take them back.
package move
