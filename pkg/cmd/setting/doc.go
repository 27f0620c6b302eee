// Package setting holds the commands about the settings tree.
package setting
