package placement

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Audit recomputes the incrementally maintained sums of the scheduler and returns the differences.
func (s *Scheduler) Audit() []string {
	var faults []string
	check := func(what string, got, want any) {
		if got != want {
			faults = append(faults, fmt.Sprintf("%s is %v, want %v", what, got, want))
		}
	}
	usage := map[*team]cell.Resources{}
	for _, w := range s.workers {
		var used, releasing, preemptible, claimed, reserved cell.Resources
		for _, a := range w.allocations {
			used = used.Add(a.booked)
			usage[a.team] = usage[a.team].Add(a.size)
			if a.releasing() {
				releasing = releasing.Add(a.booked)
			}
			if a.preemptible {
				preemptible = preemptible.Add(a.booked)
			}
		}
		for _, c := range w.claims {
			claimed = claimed.Add(c.claimSet.size)
			usage[c.claimSet.job.team] = usage[c.claimSet.job.team].Add(c.claimSet.size)
		}
		for _, r := range s.reservations {
			for _, assigned := range r.assignments {
				if assigned.worker == w {
					reserved = reserved.Add(r.class.key.size.Scale(int64(assigned.count)))
				}
			}
		}
		check(string(w.Name)+" used", w.used, used)
		check(string(w.Name)+" releasing", w.releasing, releasing)
		check(string(w.Name)+" preemptible", w.preemptible, preemptible)
		check(string(w.Name)+" claimed resources", w.claimed, claimed)
		check(string(w.Name)+" reserved resources", w.reserved, reserved)
		check(string(w.Name)+" indexed", w.slot.indexed, w.usable())
	}
	for _, t := range s.teamList {
		check(string(t.name)+" usage", t.usage, usage[t])
	}
	for _, c := range s.classes {
		states := 0
		for _, in := range []bool{c.heapIndex != noIndex, c.waitList != nil, c.blockedIn != nil} {
			if in {
				states++
			}
		}
		check(fmt.Sprintf("number of queues that hold class %v", c.key), states, 1)
	}
	return faults
}
