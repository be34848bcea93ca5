// Package routingbench compares methods of choosing a backend server. It simulates several entry
// processes, each with its own instance of core/routing and core/admission, under open-loop arrivals
// on a virtual clock.
package routingbench
