// Package sockets limits the connections of a process, so that it never runs out of file descriptors.
// Each connection has a permit, a message that is passed through the channels of the budget. A lack of
// permits delays or refuses a single connection and is counted.
package sockets
