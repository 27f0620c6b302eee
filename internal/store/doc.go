// Package store is the HTTP client of the platform's transactional table and object store.
package store
