// Package platformproc assembles the processes that run on the users' platform:
// a control replica that dispatches jobs of steps to workers that are called,
// and an entry process that serves clients. The translation of messages is in
// the folder platform.
package platformproc
