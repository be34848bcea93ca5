// Package workapi offers jobs of steps, their queues and their workers to front
// ends, apart from the encoding of any of them: a front end decodes a request,
// calls a Gate or a Registry, and encodes the outcome.
package workapi
