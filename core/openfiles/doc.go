// Package openfiles divides the file descriptors of a process between its uses, so that no use can
// take those that another one needs. The files of the log and the listeners come first: their part is
// never used for connections.
package openfiles
