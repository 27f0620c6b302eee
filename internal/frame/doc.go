// Package frame reads and writes length-delimited messages with a bound on their size.
package frame
