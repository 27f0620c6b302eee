// Package conf reads and checks the settings of a node process.
package conf
