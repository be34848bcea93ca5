// Package connmemory bounds the memory that the connections of a process hold. A task owns the budget
// (core/memorybudget); connections and requests ask it by message. It also enforces the limits of the
// configuration on the heads, bodies and times of clients. A request that gets no room is answered with 503
// before anything has run; a connection without progress is closed if its memory is needed.
package connmemory
