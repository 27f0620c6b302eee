// Package admit decides which calls of a local upstream run, which wait for a slot and which are refused.
package admit
