package routingbench

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// ownerHop is the round trip to the entry process that owns a backend server. 8 of 9 requests need
// it, since one of the 9 entry processes is the owner itself.
const ownerHop = 2 * betweenDomains

// exactPicker knows the exact number of used slots of every server, as a design with one owner for
// each server does. The report adds ownerHop to its waiting times.
type exactPicker struct {
	simplePicker
	run    *run
	region cell.Region
	random *rand.Rand
}

// Pick implements picker.
func (x *exactPicker) Pick(_ time.Time, q routing.Request) (routing.Choice, routing.Refusal) {
	start := x.random.IntN(serverCount)
	var best *backend
	for i := range x.run.servers {
		b := x.run.servers[(start+i)%serverCount]
		if x.run.outstanding[b.name] < slots && (best == nil || x.preferred(b, best)) {
			best = b
		}
	}
	if best == nil {
		return routing.Choice{}, routing.RefusalBusy
	}
	x.nextID++
	return routing.Choice{Service: q.Service, Backend: best.name, ID: x.nextID}, routing.RefusalNone
}

// preferred reports whether a is a better choice than b: servers of the own region come first, then
// those with fewer outstanding requests.
func (x *exactPicker) preferred(a, b *backend) bool {
	if near := a.region == x.region; near != (b.region == x.region) {
		return near
	}
	return x.run.outstanding[a.name] < x.run.outstanding[b.name]
}

// Started implements picker.
func (x *exactPicker) Started(_ time.Time, c routing.Choice) { x.run.outstanding[c.Backend]++ }

// Finished implements picker.
func (x *exactPicker) Finished(_ time.Time, c routing.Choice, _ routing.Observation) {
	x.run.outstanding[c.Backend]--
}
