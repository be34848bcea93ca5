// Package storage contains the task that owns the data folder of a control
// replica. The folder holds the segments of the replicated log, the snapshot
// and the identity file.
//
// Appends use group commit: the task takes all requests from its mailbox,
// writes them as one record, syncs once and then completes all of them. A
// failed sync ends the task, because the content of the file is unknown
// afterwards. While the disk is full, appends are refused with ErrDiskFull
// until a repeated append succeeds.
package storage
