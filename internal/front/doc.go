// Package front serves HTTP/1.1 to callers: it reads requests ahead, runs them side by side and answers in their order.
package front
