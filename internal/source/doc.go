// Package source imports the operator's rows of the platform's table into the oplog and reports the states of moves back.
package source
