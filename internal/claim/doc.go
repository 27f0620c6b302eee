// Package claim records the idempotency keys of at-most-once calls in the platform's table before the calls run.
package claim
