// Package depart records in the platform's table which upstreams of a node left, because the node may restart while an upstream
// that left still serves.
package depart
