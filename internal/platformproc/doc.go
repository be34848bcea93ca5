// Package platformproc assembles the processes that run on the users' platform: a control replica,
// which dispatches the steps of jobs to workers by calling them, and an entry process, which serves
// clients. The package platform translates the messages.
package platformproc
