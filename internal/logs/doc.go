// Package logs writes structured lines to standard output without ever making the code that logs wait.
package logs
