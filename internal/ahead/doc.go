// Package ahead reads the heads of HTTP messages before they are parsed, so that they can be checked and charged first.
package ahead
