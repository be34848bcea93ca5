package dispatch

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Bound of placement, second part: for which steps tickets are requested first. It is made for a backlog of
// many times what the workers can run at once. Callers need the tickets of the most urgent steps when there
// is room for them, while a step that gets tickets for full workers has asked in vain and asks again. A
// first call is therefore made only while the demand of the steps that already wait for an answer, or that
// hold valid tickets and wait for room, is smaller than the room that is free now or probably becomes
// free while the tickets are valid. The most urgent steps come first. Room that is free although such steps
// wait is of no use to them, so calls for as much are made in any case, and the bound cannot stay closed.
const (
	// minRoomAheadPercent is the part of all processors that is always expected to become free.
	minRoomAheadPercent = 25
	// maxDemandDivisor limits what one step counts for: 1/maxDemandDivisor of all processors. A wide step
	// must not keep all others from asking.
	maxDemandDivisor = 8
	// ticketRoomInterval is the longest time until steps that got no call are considered again.
	ticketRoomInterval = 200 * time.Millisecond
)

// serviceRoom is the room of the workers of a service in a plan, in millicores.
type serviceRoom struct {
	total int64
	// free is what neither runs nor steps placed in this plan use. uncommitted is what is also not needed
	// by calls in flight and by the steps considered so far.
	free, uncommitted int64
	exhausted         bool // a step was put off in this plan
}

// ticketRooms holds the room of each service for the current plan, and the demand of the steps of which a
// first or further call is in flight.
type ticketRooms struct {
	services   map[string]*serviceRoom
	inFlight   map[string]int64
	nextPlanAt time.Time // when steps that got no call are considered again; zero if there is none
}

// beginTicketRooms starts a plan without room.
func (c *Core) beginTicketRooms() {
	if c.ticketRooms.services == nil {
		c.ticketRooms.services, c.ticketRooms.inFlight = map[string]*serviceRoom{}, map[string]int64{}
	}
	for service, room := range c.ticketRooms.services {
		*room = serviceRoom{uncommitted: -c.ticketRooms.inFlight[service]}
	}
	c.ticketRooms.nextPlanAt = time.Time{}
}

func (c *Core) ticketRoom(service string) *serviceRoom {
	room := c.ticketRooms.services[service]
	if room == nil {
		room = &serviceRoom{uncommitted: -c.ticketRooms.inFlight[service]}
		c.ticketRooms.services[service] = room
	}
	return room
}

// addTicketRoom adds a worker that can take runs in the current plan.
func (c *Core) addTicketRoom(w *worker) {
	room := c.ticketRoom(w.Service)
	room.total += w.Capacity.MilliCPU
	free := max(w.freeInPlan.MilliCPU, 0)
	room.free += free
	room.uncommitted += free
}

// takeRoom takes the room on which a step is placed or for which it renews its tickets.
func (c *Core) takeRoom(j *job, milliCPU int64) {
	room := c.ticketRoom(j.Queue.Service)
	room.free -= milliCPU
	room.uncommitted -= milliCPU
}

// awaitRoom counts a step that holds valid tickets and waits for room. Gangs do not count: they wait for
// long, and claimForGang keeps room for them.
func (c *Core) awaitRoom(r readyStep, s *step, spec *workload.StepSpec) {
	if !spec.Gang && c.ticketsValid(s) {
		c.ticketRoom(r.job.Queue.Service).uncommitted -= c.ticketDemand(r, s, spec)
	}
}

// ticketDemand returns what the waiting tasks of a step count for.
func (c *Core) ticketDemand(r readyStep, s *step, spec *workload.StepSpec) int64 {
	room := c.ticketRoom(r.job.Queue.Service)
	return min(int64(s.waitingTasks)*spec.Size.MilliCPU, room.total/maxDemandDivisor)
}

// hasTicketRoom reports whether the tickets of a first call of a step would probably be used. If not, the
// step is considered again in a later plan.
func (c *Core) hasTicketRoom(r readyStep) bool {
	room := c.ticketRoom(r.job.Queue.Service)
	if room.total == 0 || c.hasFreeRoom(r.job, room) || room.uncommitted+c.roomAhead(r.job, r.index, room) > 0 {
		return true
	}
	c.recordNoRoom(room)
	return false
}

// hasRoomForFurther reports whether a blocked step may name further workers. It names workers with room, so
// the room that is free now counts. Otherwise all blocked steps would ask about the same workers.
func (c *Core) hasRoomForFurther(r readyStep, spec *workload.StepSpec) bool {
	room := c.ticketRoom(r.job.Queue.Service)
	if spec.Gang || c.hasFreeRoom(r.job, room) {
		return true
	}
	c.recordNoRoom(room)
	return false
}

// hasFreeRoom reports whether more room is free than the steps need that wait for an answer.
func (c *Core) hasFreeRoom(j *job, room *serviceRoom) bool {
	return room.free > c.ticketRooms.inFlight[j.Queue.Service]
}

// recordNoRoom records, once in a plan, that steps are put off.
func (c *Core) recordNoRoom(room *serviceRoom) {
	if room.exhausted {
		return
	}
	room.exhausted = true
	c.recordBound(BoundPlacement, "no-room")
	c.ticketRooms.nextPlanAt = c.now.Add(ticketRoomInterval)
}

// roomAhead returns the room that probably becomes free until the tickets of a first call can no longer be
// used.
func (c *Core) roomAhead(j *job, index int, room *serviceRoom) int64 {
	ahead := room.total * minRoomAheadPercent / 100
	runTime := j.steps[index].expected
	if runTime <= 0 {
		return ahead
	}
	advice := j.Queue.Advice
	useful := adviceTime(advice, minNamedWorkers) + advice.TicketTTL - c.startDelay(advice.TicketTTL)
	return max(ahead, int64(float64(room.total)*min(float64(useful)/float64(runTime), 1)))
}

// addTicketDemand counts what a step needs for as long as its call is in flight.
func (c *Core) addTicketDemand(r readyStep, s *step, spec *workload.StepSpec) {
	call := c.adviceCalls[s.adviceInFlight]
	call.service, call.ticketDemand = r.job.Queue.Service, c.ticketDemand(r, s, spec)
	c.ticketRooms.inFlight[call.service] += call.ticketDemand
	c.ticketRoom(call.service).uncommitted -= call.ticketDemand
}

func (c *Core) releaseTicketDemand(call *adviceCall) {
	if call.ticketDemand != 0 {
		c.ticketRooms.inFlight[call.service] -= call.ticketDemand
	}
}
