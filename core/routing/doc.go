// Package routing chooses a backend server for a request. An entry process
// knows its own outstanding requests exactly and those of the other entry
// processes only by the last report of each backend server. The choice
// therefore compares two random candidates of each locality by expected delay,
// so that entry processes with equal views do not all pick the same server.
package routing
