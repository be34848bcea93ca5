// Package cellconfig defines the cell file: the one declarative file that
// operators submit as a whole. It parses the file, checks it by itself and
// against the state of the cell, computes its digest, and compares two files.
package cellconfig
