// Package admin provides the HTTP API for operators: the settings tree, the moves and the node's status.
package admin
