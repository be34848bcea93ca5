// Package controlproc runs the process of a control replica: its settings, its listeners, and the
// order of its startup and planned stop.
package controlproc
