// Package setting holds the commands that read and change the settings tree.
package setting
