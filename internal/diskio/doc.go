// Package diskio provides the file operations that durable state needs on one
// folder.
//
// Written data is durable once the file has been synced. The creation, renaming
// or removal of a name is durable once the folder has been synced. Reading does
// not show whether a file or a name is durable, so a process that opens an
// existing folder syncs what it has read before it relies on it.
package diskio
