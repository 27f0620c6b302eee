// Package hangup receives the SIGHUPs by which a node is told to read its settings again. It has no dependencies within the module, so
// that it is initialised early: a SIGHUP that arrives before its handler is installed ends the process.
package hangup
