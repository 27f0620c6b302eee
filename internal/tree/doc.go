// Package tree holds the settings tree: its paths, the checks of its values and the immutable state that nodes route calls by.
package tree
