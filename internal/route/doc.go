// Package route serves callers' HTTP requests: it chooses version and upstream for each call and decides on retries.
package route
