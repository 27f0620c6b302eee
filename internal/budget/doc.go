// Package budget bounds the memory that a process spends on callers, and decides who is refused or dropped when it is short.
package budget
