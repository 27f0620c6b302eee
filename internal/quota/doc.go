// Package quota enforces the quotas of workspaces over all nodes without the platform's store: owners grant tokens, each of which
// allows one call, in proportion to the votes of nodes that they hold, and nodes keep a short stock of tokens.
package quota
