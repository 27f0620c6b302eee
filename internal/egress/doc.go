// Package egress shares a VM's link between the large responses that its node sends to other nodes.
package egress
