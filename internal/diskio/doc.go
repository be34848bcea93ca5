// Package diskio is the file operations that durable state needs, on one
// folder, and the rules by which a file becomes durable.
//
// What was written is durable once the file is synced; a name that was created,
// renamed or removed once the folder is. Reading tells neither: a process that
// takes over a folder syncs what it has read before it relies on it.
package diskio
