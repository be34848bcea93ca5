package dispatch

import "time"

const (
	// socketShortagePeriod is how long this process is assumed to have too few sockets after a call was not
	// sent for lack of one.
	socketShortagePeriod = 2 * time.Second
	// shortageHoldInterval is the time between two holds to a worker while sockets are short. The holds do
	// not wait for an end, so that each occupies a connection for one round trip only. It is a fraction of
	// a lease, which the holds extend.
	shortageHoldInterval = 500 * time.Millisecond
)

// socketsShort reports whether this process has too few sockets for a hold to every worker at a time.
func (c *Core) socketsShort() bool { return c.now.Before(c.socketsShortUntil) }

func (c *Core) recordSocketShortage() {
	c.socketsShortUntil = c.now.Add(socketShortagePeriod)
}
