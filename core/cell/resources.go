package cell

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/fairshare"
)

// Resources is an amount of CPU, memory and accelerators: the capacity of a worker, the size of a task
// or the quota of a team.
type Resources struct {
	MilliCPU     int64 // thousandths of a CPU core
	MemoryBytes  int64
	Accelerators int64 // number of devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryBytes:  r.MemoryBytes + o.MemoryBytes,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r - o. A dimension of the result is negative if o exceeds r there.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryBytes:  r.MemoryBytes - o.MemoryBytes,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryBytes:  r.MemoryBytes * n,
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryBytes <= capacity.MemoryBytes &&
		r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether r is zero in every dimension.
func (r Resources) IsZero() bool { return r == Resources{} }

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// DominantShare returns the largest share of total that r uses in any dimension, as defined by
// dominant resource fairness. Dimensions in which total is zero are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	return fairshare.DominantShare(
		fairshare.Part{Used: r.MilliCPU, Total: total.MilliCPU},
		fairshare.Part{Used: r.MemoryBytes, Total: total.MemoryBytes},
		fairshare.Part{Used: r.Accelerators, Total: total.Accelerators},
	)
}

// String formats r for logs and messages, such as "1500m/2048MiB/0acc".
func (r Resources) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%dm/%dMiB/%dacc", r.MilliCPU, r.MemoryBytes/mebibyte, r.Accelerators)
}
