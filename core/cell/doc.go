// Package cell defines the data types that the other packages share: resources, workers, jobs, tasks
// and allocations. It contains arithmetic on resources but no scheduling or policy decisions.
package cell
