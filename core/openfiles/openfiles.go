package openfiles

import "fmt"

// Use is a use of sockets.
type Use uint8

// The uses of sockets.
const (
	UseProbes    Use = iota // accepted: readiness checks and scrapes of metrics
	UseProcesses            // accepted: calls of other processes of the system
	UseCallers              // accepted: callers, operators and reports of workers
	UseCalls                // opened: calls to other processes of the system and to the adviser
	UseWorkers              // opened: calls to workers
	UseCount
)

var useNames = [UseCount]string{"probes", "processes", "callers", "calls", "workers"}

// String names the use in logs and metrics.
func (u Use) String() string { return useNames[u] }

const (
	// FilesAndListeners is the number of descriptors that are not available for connections: the files
	// and folders of the log and of a snapshot, listeners, standard streams, the poller, and a
	// connection in each listener that was accepted before its permit is known.
	FilesAndListeners = 64
	// minReserved is the least number of sockets of a use. A control group of nine replicas needs two
	// connections to and from each of the others.
	minReserved = 16
	// MinLimit is the least number of descriptors that can be divided.
	MinLimit = FilesAndListeners + int(UseCount)*minReserved
)

// reservedPercent is the share of the sockets beyond the minimum that only one use may open. The rest is
// shared.
var reservedPercent = [UseCount]int{UseProbes: 1, UseProcesses: 10, UseCallers: 15, UseCalls: 10, UseWorkers: 30}

// Division is the number of sockets that each use may open.
type Division struct {
	Reserved [UseCount]int // only for this use
	Shared   int           // for any use
}

// Divide divides a number of descriptors. The error says how many are needed.
func Divide(limit int) (Division, error) {
	if limit < MinLimit {
		return Division{}, fmt.Errorf("%d file descriptors are too few, at least %d are needed", limit, MinLimit)
	}
	beyondMinimum := limit - MinLimit
	d := Division{Shared: beyondMinimum}
	for use, percent := range reservedPercent {
		share := beyondMinimum * percent / 100
		d.Reserved[use] = minReserved + share
		d.Shared -= share
	}
	return d, nil
}
