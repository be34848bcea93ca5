// Package cell defines the nouns that all other packages share: resources,
// workers, jobs, tasks and allocations. It holds data and arithmetic on it,
// and no decisions.
package cell
