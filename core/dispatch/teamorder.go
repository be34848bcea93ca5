package dispatch

import (
	"container/heap"

	"github.com/godwitlink/godwitlink/core/fairshare"
	"github.com/godwitlink/godwitlink/core/workload"
)

// teamQueue is the waiting steps of a team within one group of steps that other rules leave in any order.
type teamQueue struct {
	account *teamAccount
	steps   []readyStep
	heads   []int // by step: position before the teams are ordered
}

// teamAccount is what a team uses and holds, and what the steps would use that come earlier in the order.
// Without the latter, a team of low use would get all of what several ended runs leave in one plan.
type teamAccount struct {
	used   workload.Resources
	limit  workload.Resources // cap of the team
	weight float64
	share  float64 // fairshare.Ratio of used
}

// teamOrder orders steps by the weighted dominant share of their teams. Jobs without a team count as one
// team of mean weight.
//
// It handles a cell in which more steps wait than workers have room for and some teams send several times
// what they usually do. The other teams' callers need that their steps are placed as if the hot team only
// had its share: of the steps of equal priority, the next one is always that of the team that would use
// the least for its weight. A team that cannot use more because of its cap is not charged for steps that
// the cap blocks.
type teamOrder struct {
	core     *Core
	total    workload.Resources // capacity of the usable workers
	accounts map[workload.TeamName]*teamAccount
}

func (c *Core) newTeamOrder() *teamOrder {
	o := &teamOrder{core: c, accounts: map[workload.TeamName]*teamAccount{}}
	for _, w := range c.usableWorkers {
		o.total = o.total.Add(w.Capacity)
	}
	return o
}

// account returns the account of a team.
func (o *teamOrder) account(team workload.TeamName) *teamAccount {
	if a := o.accounts[team]; a != nil {
		return a
	}
	a := &teamAccount{limit: o.core.state.TeamCap(team), weight: o.core.state.TeamWeight(team)}
	o.charge(a, o.core.state.TeamUse(team).Add(o.core.teamReservations[team]))
	o.accounts[team] = a
	return a
}

// addHeld charges a team for the resources that are reserved for a step while its tickets are renewed.
func (o *teamOrder) addHeld(r readyStep) {
	if held := len(r.job.steps[r.index].renewalReservations); held > 0 {
		o.charge(o.account(r.job.Team), r.spec().Size.Times(held))
	}
}

func (o *teamOrder) charge(a *teamAccount, demand workload.Resources) {
	a.used = a.used.Add(demand)
	a.share = fairshare.Ratio(a.used.DominantShare(o.total), a.weight)
}

// chargeStep charges a team for the tasks of a step that its cap admits.
func (o *teamOrder) chargeStep(a *teamAccount, r readyStep) {
	spec := r.spec()
	waiting := r.job.steps[r.index].waitingTasks
	slots := workload.SlotsWithinCap(a.limit, a.used, spec.Size, waiting)
	if spec.Gang && slots < waiting {
		return
	}
	o.charge(a, spec.Size.Times(slots))
}

// order puts steps that are sorted by the other rules in the order of their teams. Only steps of equal rank
// change places, and the steps of one team keep their order.
func (o *teamOrder) order(steps []readyStep) {
	for _, r := range steps {
		o.addHeld(r)
	}
	for start := 0; start < len(steps); {
		end := start + 1
		for end < len(steps) && compareRank(steps[start], steps[end]) == 0 {
			end++
		}
		o.orderGroup(steps[start:end])
		start = end
	}
}

func (o *teamOrder) orderGroup(steps []readyStep) {
	byTeam := map[workload.TeamName]*teamQueue{}
	var queues teamHeap
	for i, r := range steps {
		q := byTeam[r.job.Team]
		if q == nil {
			q = &teamQueue{account: o.account(r.job.Team)}
			byTeam[r.job.Team] = q
			queues = append(queues, q)
		}
		q.steps, q.heads = append(q.steps, r), append(q.heads, i)
	}
	heap.Init(&queues)
	for i := range steps {
		q := queues[0]
		steps[i] = q.steps[0]
		o.chargeStep(q.account, q.steps[0])
		q.steps, q.heads = q.steps[1:], q.heads[1:]
		if len(q.steps) == 0 {
			heap.Pop(&queues)
		} else {
			heap.Fix(&queues, 0)
		}
	}
}

// teamHeap is a heap of the teams with waiting steps. The one of the lowest share comes first, and of equal
// shares the one whose first step came first.
type teamHeap []*teamQueue

func (h teamHeap) Len() int      { return len(h) }
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h teamHeap) Less(i, j int) bool {
	if h[i].account.share != h[j].account.share {
		return h[i].account.share < h[j].account.share
	}
	return h[i].heads[0] < h[j].heads[0]
}
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}
