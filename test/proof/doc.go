// Package proof holds end-to-end tests, which run real node processes under kills, freezes and platform outages.
package proof
