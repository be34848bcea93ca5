package placement

import (
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// tryGang places all waiting tasks of the first gang of a class, or none.
func (s *Scheduler) tryGang(plan *state.CommitPlan, c *class) bool {
	j := c.head
	count := len(j.queued)
	if reason := c.admit(count); reason != ReasonNone {
		s.park(c, reason)
		return false
	}
	seats := s.seatGang(c.scope, c.key.size, count)
	if seats == nil && c.urgent() {
		return s.tryPreempt(plan, c, count)
	}
	if seats == nil {
		s.block(c, ReasonNoRoom)
		return false
	}
	s.dropReservations(c, func(*reservation) bool { return true })
	for _, seat := range seats {
		for range seat.count {
			_, index := s.takeTask(c)
			s.reserve(plan, j, index, seat.worker)
		}
	}
	return true
}

// seat is a number of tasks of a gang for one worker.
type seat struct {
	worker *worker
	count  int
}

// seatGang finds workers for all tasks of a gang: in one failure domain, or
// else in one region, or else anywhere in the scope, because traffic between
// its tasks is slow and billed across regions.
func (s *Scheduler) seatGang(sc *scope, size cell.Resources, count int) []seat {
	for _, g := range sc.groups {
		if seats := seatIn(sc, size, count, func(o *group) bool { return o.region == g.region && o.domain == g.domain }); seats != nil {
			return seats
		}
	}
	for _, g := range sc.groups {
		if seats := seatIn(sc, size, count, func(o *group) bool { return o.region == g.region }); seats != nil {
			return seats
		}
	}
	return seatIn(sc, size, count, func(*group) bool { return true })
}

func seatIn(sc *scope, size cell.Resources, count int, within func(*group) bool) []seat {
	var seats []seat
	missing := count
	for _, g := range sc.groups {
		if !within(g) {
			continue
		}
		g.fitting(size, func(w *worker) bool {
			n := min(missing, slots(w.available(), size))
			seats = append(seats, seat{w, n})
			missing -= n
			return missing > 0
		})
		if missing == 0 {
			return seats
		}
	}
	return nil
}

// slots returns how many tasks of size fit room.
func slots(room, size cell.Resources) int {
	n := int64(maxSlots)
	if size.MilliCPU > 0 {
		n = min(n, room.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, room.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, room.Accelerators/size.Accelerators)
	}
	return int(max(n, 0))
}

// maxSlots is the number of tasks without any size that a worker may take.
const maxSlots = 1 << 16
