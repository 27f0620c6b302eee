// Package conf reads and checks the settings file of a node process.
package conf
