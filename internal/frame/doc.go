// Package frame reads and writes length-prefixed messages and limits the size of those it reads.
package frame
