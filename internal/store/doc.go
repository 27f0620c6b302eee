// Package store is the face towards the platform: its transactional table and its object store, over HTTP.
package store
