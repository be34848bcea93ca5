// Package controlbench measures what control costs a worker: bytes on its
// connections, processor time and memory, at several numbers of workers, and
// how long a new cell file takes until it is in force everywhere. It runs a
// control group, entry processes and worker stand-ins inside one process, on
// loopback addresses and real files.
//
// Processor time and memory are those of the whole process: the leader's, the
// entry processes' and the workers' parts together. The slope over the number
// of workers is therefore an upper bound for one worker.
package controlbench
