// Package move decides how traffic moves between versions: evidence, verdicts, the plan of steps and who decides.
package move
