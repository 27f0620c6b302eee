// Package member keeps what is known of all nodes and the upstreams beside them; records merge in any order.
package member
