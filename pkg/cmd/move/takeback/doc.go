// Package takeback is the command that takes a move back.
package takeback
