// Package oplog keeps the ordered log of accepted changes. Each change has a revision, its place in the log. A node commits
// changes to the platform's table, reads those of other nodes from it, and applies each change whole or not at all.
// Snapshots of the state replace the oldest changes.
package oplog
