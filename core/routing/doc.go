// Package routing chooses a backend server for a request. An entry process knows its own
// outstanding requests exactly, but those of the other entry processes only from the last load
// report of each backend server. To keep entry processes with equal views from all choosing the
// same server, the choice compares the expected delay of two random candidates from each locality.
//
// The home of a backend server is one entry process of its region, if there is any. An entry process
// prefers its home servers to other servers. The localities are its home servers, other servers of
// its failure domain, other servers of its region, and other regions.
package routing
