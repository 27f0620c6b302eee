// Package client is the client of the admin API.
package client
