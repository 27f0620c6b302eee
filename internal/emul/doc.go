// Package emul holds small stand-ins for the platform, the upstreams and the callers, for tests and measurements.
package emul
