// Package routing chooses a backend server for a request. An entry process knows its own
// outstanding requests exactly, but those of the other entry processes only from the last load
// report of each backend server. To keep entry processes with equal views from all choosing the
// same server, the choice compares the expected delay of two random candidates from each locality.
package routing
