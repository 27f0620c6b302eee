// Package feed keeps the order in which keys changed, so that each reader resumes from its own cursor.
package feed
