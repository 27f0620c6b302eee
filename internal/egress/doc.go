// Package egress shares the network link of a VM between the large responses that its node sends to other nodes.
package egress
