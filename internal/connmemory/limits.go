package connmemory

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/memorybudget"
)

// Limits are the limits of clients' requests. A limit of 0 stands for the default.
type Limits struct {
	HeadBytes     int64         // size of a head
	BodyBytes     int64         // size of a body
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // between two requests
}

// DefaultLimits apply where the configuration states none. The platform's configurations state 16 KiB, 256 KiB,
// 3 s and 15 s.
var DefaultLimits = Limits{HeadBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

// SetLimits puts limits in force for the requests that begin from now on. They are lowered to what the memory
// allows: a body and what is decoded from it must have room while nothing else is served.
func (b *Budget) SetLimits(wanted Limits) {
	in := DefaultLimits
	if wanted.HeadBytes > 0 {
		in.HeadBytes = min(wanted.HeadBytes, MaxHeadBytes)
	}
	if wanted.BodyBytes > 0 {
		in.BodyBytes = wanted.BodyBytes
	}
	in.BodyBytes = min(in.BodyBytes, b.division.Limit(memorybudget.UseRequests)/ClientRequestFactor, b.division.Limit(memorybudget.UseBodies)/2)
	if wanted.HeaderTimeout > 0 {
		in.HeaderTimeout = min(wanted.HeaderTimeout, DefaultLimits.HeaderTimeout)
	}
	if wanted.IdleTimeout > 0 {
		in.IdleTimeout = min(wanted.IdleTimeout, DefaultLimits.IdleTimeout)
	}
	if *b.limits.Swap(&in) != in {
		b.logger.Log(eventLimits, zap.Int64("head_bytes", in.HeadBytes), zap.Int64("body_bytes", in.BodyBytes), zap.Duration("header_timeout", in.HeaderTimeout), zap.Duration("idle_timeout", in.IdleTimeout))
	}
}

// MaxHeadBytes is the largest head that a configuration can allow. The default times cannot be extended: they
// are those of the servers.
const MaxHeadBytes = 256 << 10

// Limits returns the limits in force.
func (b *Budget) Limits() Limits { return *b.limits.Load() }
