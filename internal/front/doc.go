// Package front is the HTTP/1.1 server for callers: it runs pipelined requests concurrently and responds in their order.
package front
