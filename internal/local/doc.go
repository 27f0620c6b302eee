// Package local serves the upstreams beside this node: their announcements and the calls handed to them.
package local
