// Package claim records the keys of at-most-once calls in the platform's table before they run.
package claim
