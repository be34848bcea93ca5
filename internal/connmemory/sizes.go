package connmemory

// Shares of the memory limit of a process, in percent.
const (
	// heapPercent is the share above which the garbage collector runs more often. The remainder is for
	// stacks, sockets and files.
	heapPercent = 50
	// connectionPercent is what connections may hold, half of the heap. The other half is for the state of
	// the process and for what is garbage.
	connectionPercent = 25
)

// HeapBytes returns the limit of the heap of a process with the given memory limit.
func HeapBytes(memoryMB int64) int64 { return memoryMB << 20 * heapPercent / 100 }

// Bytes returns the memory that the connections of a process with the given memory limit may hold.
func Bytes(memoryMB int64) int64 { return memoryMB << 20 * connectionPercent / 100 }
