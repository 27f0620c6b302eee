// Package meter holds the metrics of a node process.
package meter
