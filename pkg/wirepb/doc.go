// Package wirepb holds the generated messages of turmericdale's settings, records and protocols.
package wirepb
