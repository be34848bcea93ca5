// Package storage holds the task that owns the data folder of a control
// replica: the segments of the replicated log, the snapshot and the identity.
//
// Appends are grouped: the task drains its mailbox, writes one record, syncs
// once and then answers all of them. A failed sync ends the task, because the
// content of the file is unknown after it. A full disk refuses appends with
// ErrDiskFull until a repeated one succeeds.
package storage
