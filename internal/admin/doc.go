// Package admin serves operators: the settings tree, the moves and the status of this node, over HTTP.
package admin
