// Package admission decides which requests of a service are dispatched, in which order, and which
// are refused. It combines a bounded queue that is shared fairly between teams, request deadlines,
// a concurrency limit that adapts to the measured delay, and a retry budget.
package admission
