// Package list is the command that lists paths.
package list
