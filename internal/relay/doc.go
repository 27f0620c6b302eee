// Package relay spreads changes, member records and verdicts over links between nodes; two relays a data centre follow the platform.
package relay
