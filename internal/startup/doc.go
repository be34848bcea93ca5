// Package startup carries out the steps of the start of a process. A step that fails is repeated until it
// succeeds: the process stays up, logs the cause, and serves it on its metrics listener. If it ended instead, its
// supervisor would start it again and again with one line of log each, and each start would repeat work that had
// succeeded before.
package startup
