// Package member keeps the member records of all nodes with their local upstreams. Records merge to the same table in
// any order.
package member
