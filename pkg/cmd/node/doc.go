// Package node holds the commands that run and inspect nodes.
package node
