// Package routingbench compares ways to choose a backend server. It drives the
// routing and admission cores of several entry processes, each with its own
// view, through open-loop arrivals on a virtual clock.
package routingbench
