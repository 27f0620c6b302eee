// Package node holds the commands about node processes.
package node
