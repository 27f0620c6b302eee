// Package chain keeps the order of accepted changes: it commits them to the platform's table, follows the table and applies them whole.
package chain
