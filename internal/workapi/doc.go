// Package workapi provides jobs of steps, queues and worker registration to front ends, independent
// of the encoding of messages: a front end decodes a request, calls a JobService or a Registry, and
// encodes the outcome.
package workapi
