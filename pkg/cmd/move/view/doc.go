// Package view is the command that shows one move.
package view
