// Package cellconfig defines the cell file, the declarative configuration of a cell that operators
// submit as a whole. It parses and validates a file, computes its digest, and compares two files. The
// checks against the state of the cell are in core/state.
package cellconfig
