package routingbench

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Sizes of the cell (docs/design.md, section 1.5).
const (
	regions          = 3
	domainsPerRegion = 2
	entryCount       = 9
	serverCount      = 50
	slots            = 8
	connections      = 60
)

// One-way delays of the network.
const (
	withinDomain   = 250 * time.Microsecond
	betweenDomains = time.Millisecond
	betweenRegions = 8 * time.Millisecond
)

// meanService is the mean of the exponential service times.
const meanService = 50 * time.Millisecond

// mode is the behaviour of a backend server.
type mode int

const (
	modeHealthy mode = iota
	modeSlow         // ten times slower
	modeFailing      // answers every request at once with an error
	modeSilent       // neither answers nor announces itself
)

const (
	slowFactor   = 10
	failureAfter = time.Millisecond
)

// location is the region and the failure domain of a process.
type location struct {
	region cell.Region
	domain cell.FailureDomain
}

func locationOf(i int) location {
	region := i % regions
	domain := i / regions % domainsPerRegion
	return location{
		region: cell.Region(fmt.Sprintf("region-%d", region)),
		domain: cell.FailureDomain(fmt.Sprintf("region-%d-%d", region, domain)),
	}
}

func oneWayDelay(a, b location) time.Duration {
	switch {
	case a.region != b.region:
		return betweenRegions
	case a.domain != b.domain:
		return betweenDomains
	default:
		return withinDomain
	}
}

// backend simulates one backend server.
type backend struct {
	location
	name     cell.BackendName
	index    int
	mode     mode
	inFlight int
	queues   bool     // queues requests above its slots instead of refusing them
	waiting  []func() // in order of arrival
}

// response is the response of a backend server to an entry process.
type response struct {
	refused  bool
	failed   bool
	inFlight int
}

// receive handles a request and calls reply at the time at which the server sends its response.
func (b *backend) receive(c *clock, service time.Duration, reply func(response)) {
	switch {
	case b.mode == modeSilent:
		return
	case b.mode == modeFailing:
		c.after(failureAfter, func() { reply(response{failed: true, inFlight: b.inFlight}) })
		return
	case b.inFlight >= slots && b.queues:
		b.waiting = append(b.waiting, func() { b.receive(c, service, reply) })
		return
	case b.inFlight >= slots:
		reply(response{refused: true, inFlight: b.inFlight})
		return
	case b.mode == modeSlow:
		service *= slowFactor
	}
	b.inFlight++
	c.after(service, func() {
		b.inFlight--
		reply(response{inFlight: b.inFlight + len(b.waiting)})
		if len(b.waiting) > 0 {
			first := b.waiting[0]
			b.waiting = b.waiting[1:]
			first()
		}
	})
}
