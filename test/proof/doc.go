// Package proof holds the proofs of the system's promises: real node processes under kills, freezes and outages.
package proof
