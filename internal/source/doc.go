// Package source takes the operator's rows of the platform's table into the order of changes.
package source
