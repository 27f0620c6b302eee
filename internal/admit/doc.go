// Package admit decides beside an upstream which calls run, which wait for a slot and which are refused.
package admit
