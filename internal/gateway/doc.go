// Package gateway serves callers' requests and the announcements of backend
// servers inside an entry process.
//
// The router task owns the table of backend servers, the announcements, the
// queues and the connections to backend servers. Request handlers are goroutines
// without shared state: they decode a request, carry out the effects of its
// core/exchange, and exchange messages with the router task. One pull task for
// each other entry process fetches the announcements that the other process has
// received.
package gateway
