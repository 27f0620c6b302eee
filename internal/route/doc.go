// Package route takes callers' HTTP, chooses version and upstream for each call, and decides on retries.
package route
