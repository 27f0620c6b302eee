// Package feed is a change feed: it records the order in which keys change, and each reader resumes from its own
// cursor.
package feed
