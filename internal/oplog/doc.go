// Package oplog keeps the order of accepted changes: it commits them to the platform's table, follows the table and applies them whole.
package oplog
