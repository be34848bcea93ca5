package connmemory

// Shares of the memory limit of a process, in percent.
const (
	// heapPercent is the share above which the garbage collector runs more often. The remainder is for
	// stacks, sockets and files.
	heapPercent = 50
	// connectionPercent is what connections may hold, half of the heap. The other half is for the state of
	// the process and for what is garbage.
	connectionPercent = 25
	// jobPercent is what the jobs of a control process may take, with all copies and what is garbage between
	// two collections.
	jobPercent = 20
	// logPercent is the size of the replicated log at which a snapshot replaces it.
	logPercent = 6
)

// HeapBytes returns the limit of the heap of a process with the given memory limit.
func HeapBytes(memoryMB int64) int64 { return memoryMB << 20 * heapPercent / 100 }

// Bytes returns the memory that the connections of a process with the given memory limit may hold.
func Bytes(memoryMB int64) int64 { return memoryMB << 20 * connectionPercent / 100 }

// JobBytes returns the memory that the jobs of a control process with the given memory limit may take.
func JobBytes(memoryMB int64) int64 { return memoryMB << 20 * jobPercent / 100 }

// LogBytes returns the size at which the log of a control process with the given memory limit is replaced by a
// snapshot.
func LogBytes(memoryMB int64) int64 { return memoryMB << 20 * logPercent / 100 }
