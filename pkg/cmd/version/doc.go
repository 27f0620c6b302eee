// Package version prints the version of the program.
package version
