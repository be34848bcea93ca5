// Package memorybudget divides the memory that the connections of a process may hold between its uses, so
// that no use can take what another one needs, and decides who gets memory when there is too little.
//
// The load that it handles: more clients than the memory of the process has room for, each of which sends a
// head or a body and stops, sends it slowly, or does not read its answer. Callers need two things then. A
// request that arrives is admitted or refused at once, and a request that is being worked on keeps what it
// holds until it has its answer. So memory is taken back only from connections that have made no progress
// for StallTime, the oldest first, and only if that makes room for the request that asks.
package memorybudget
