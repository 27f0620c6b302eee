// Package diff is the command that compares two operator's configurations.
package diff
