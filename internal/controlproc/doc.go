// Package controlproc is the process of a control replica: its settings, its
// listeners and the order of its start and its planned stop.
package controlproc
