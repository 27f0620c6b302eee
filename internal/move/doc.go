// Package move runs moves, which are progressive rollouts of a new version of a service: it collects evidence on both
// versions, rejects a faulty new version, plans the steps of a growing share and picks the nodes that decide.
package move
