// Package relay distributes changes, member records and verdicts over links between nodes. In each data centre two
// nodes hold a relay lease: they read the platform, link to the relays of other data centres and are the roots of a
// tree of links to the other nodes.
package relay
