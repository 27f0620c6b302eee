// Package emul emulates the platform, the upstreams and the callers, for tests and measurements.
package emul
