// Package admission decides which requests of a service may be dispatched, in
// which order, and which are refused: a bounded queue with shares between
// teams, deadlines, a concurrency limit learned from delay and a retry budget.
package admission
