// Package controlbench measures the cost of control per worker (bytes on its connections, processor
// time and memory) at several numbers of workers, the time until a new cell file is in force on all
// workers, and the time until an urgent job is assigned in a full cell. It runs a control group,
// entry processes and worker agents inside one process, on loopback addresses and real files.
//
// Processor time and memory are those of the whole process, which includes the leader, the entry
// processes and the workers. The slope over the number of workers is therefore an upper bound for
// the cost of one worker.
package controlbench
