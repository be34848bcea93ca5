package memorybudget

import "fmt"

// Use is a use of memory by connections.
type Use uint8

// The uses of memory.
const (
	UseConnections Use = iota // buffers and stacks of open connections of clients
	UseHeads                  // heads of requests
	UseBodies                 // bodies that are being read
	UseRequests               // requests that are being worked on, most of which wait for the log
	UseAnswers                // answers that are prepared, or that wait for their reader
	UseProcesses              // connections and small messages of other processes of the system
	UseMessages               // large messages of other processes, such as entries of the log
	UseCount
)

var useNames = [UseCount]string{"connections", "heads", "bodies", "requests", "answers", "processes", "messages"}

// String names the use in logs and metrics.
func (u Use) String() string { return useNames[u] }

// reservedPercent is the share of the memory that only one use may hold. The rest is shared.
var reservedPercent = [UseCount]int64{
	UseConnections: 20, UseHeads: 5, UseBodies: 8, UseRequests: 8, UseAnswers: 5, UseProcesses: 12, UseMessages: 7,
}

// LargestRequest is what the largest request inside the limits takes while it is worked on: a report of a
// worker of 4 MiB and what is decoded from it.
const LargestRequest = 8 << 20

// MinBytes is the least memory that can be divided. With it a single request of the largest size has room.
const MinBytes = 20 << 20

// Division is the number of bytes that each use may hold.
type Division struct {
	Reserved [UseCount]int64 // only for this use
	Shared   int64           // for any use
}

// Divide divides a number of bytes. The error says how many are needed.
func Divide(bytes int64) (Division, error) {
	if bytes < MinBytes {
		return Division{}, fmt.Errorf("%d bytes are too few, at least %d are needed", bytes, MinBytes)
	}
	d := Division{Shared: bytes}
	for use, percent := range reservedPercent {
		d.Reserved[use] = bytes * percent / 100
		d.Shared -= d.Reserved[use]
	}
	return d, nil
}

// Limit returns what a use may hold at most.
func (d Division) Limit(use Use) int64 { return d.Reserved[use] + d.Shared }
