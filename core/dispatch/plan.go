package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// maxAssignsPerPlan bounds one command.
const maxAssignsPerPlan = 256

// The time to the next plan grows with the steps that wait: a plan looks at
// each of them, and would otherwise take the whole processor under overload.
const (
	planPerStep   = 150 * time.Microsecond
	maxPacedSteps = 400
)

// scarcePercent is the free part of all room below which steps keep off avoided
// workers however long they wait. The platform asks for each job to be run that
// finds room while under half of it is in use.
const scarcePercent = 40

// beginPlan lists the workers that may get runs, with their room.
func (c *Core) beginPlan() {
	c.usable = c.usable[:0]
	c.total, c.claimed = 0, 0
	free := int64(0)
	c.live, c.slowFreeAt = c.liveCallers(), time.Time{}
	for _, w := range c.list {
		if !c.mayRun(w) {
			continue
		}
		w.room = c.free(w)
		c.usable = append(c.usable, w)
		c.total += w.Capacity.MilliCPU
		free += w.room.MilliCPU
	}
	c.scarce = free*100 < c.total*scarcePercent
	c.learnMedianSpeed()
}

// ready is a step that waits for workers.
type ready struct {
	job      *job
	index    int
	lateness lateness
}

// plan places the steps that wait, in the order of their priority. A step that
// finds no room does not hold the later ones up.
func (c *Core) plan() {
	if !c.mayOrder() {
		c.changed = true
		c.nextPlan = c.now.Add(retryCall)
		return
	}
	p := &proposal{}
	decide := &workload.Decide{}
	c.beginPlan()
	waiting := c.waiting()
	c.nextPlan = c.now.Add(planInterval + time.Duration(min(len(waiting), maxPacedSteps))*planPerStep)
	for _, r := range waiting {
		if len(decide.Assigns) >= maxAssignsPerPlan {
			c.changed = true
			break
		}
		if assign, ok := c.place(r); ok {
			decide.Assigns = append(decide.Assigns, assign)
			size := r.job.Spec.Steps[r.index].Size
			for _, m := range assign.Members {
				p.holds = append(p.holds, reservation{m.Worker, size})
			}
		}
	}
	if len(decide.Assigns) == 0 {
		return
	}
	// The ends go first: they free the room that the assignments may use.
	n := min(len(c.ends), maxEndsPerProposal)
	decide.Ends = slices.Clone(c.ends[:n])
	p.ends = decide.Ends
	c.ends = c.ends[n:]
	p.command = workload.Command{Decide: decide}
	c.propose(p)
}

// waiting lists the steps with tasks to place, the most urgent first. Among
// steps of one priority those that can still meet their objective come before
// those that cannot: with too much work all would otherwise be late alike. Of late
// gangs the smallest come first, so that more of them end in time to be of use.
// Steps that nobody waits for come last of all.
func (c *Core) waiting() []ready {
	var all []ready
	for _, j := range c.jobs {
		for i := range j.steps {
			if j.steps[i].waiting > 0 && j.DependenciesDone(i) {
				all = append(all, ready{j, i, j.lateness(i, c.now)})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b ready) int {
		return cmp.Or(
			cmp.Compare(max(a.lateness, late), max(b.lateness, late)),
			cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.lateWork(), b.lateWork()),
		)
	})
	return all
}

// place chooses workers for a step. Where the step needs tickets and has none,
// it calls the adviser first.
func (c *Core) place(r ready) (workload.Assign, bool) {
	s := &r.job.steps[r.index]
	spec := &r.job.Spec.Steps[r.index]
	none := workload.Assign{}
	if spec.Gang && s.waiting < spec.Tasks || c.placeable(r) == 0 {
		return none, false
	}
	advised := r.job.Queue.Advice != nil
	if advised && s.granted == nil {
		if s.asking == 0 {
			c.askFirst(r, s, spec)
		}
		return none, false
	}
	if members := c.choose(r, s, spec, advised); enough(members, spec) {
		return c.reserve(r, s, spec, members), true
	}
	if s.blockedSince.IsZero() {
		s.blockedSince = c.now
	}
	if c.selective(s) {
		// A job has one wake-up: an earlier one takes the place of this.
		c.wakeJob(r.job, s.blockedSince.Add(waitForSound))
	}
	if !advised || s.asking != 0 {
		if spec.Gang && len(s.held) == 0 {
			c.claim(r, s, spec)
		}
		return none, false
	}
	if members := c.choose(r, s, spec, false); enough(members, spec) {
		c.renew(r, s, members)
		return none, false
	}
	if spec.Gang {
		c.claim(r, s, spec)
	}
	if c.shouldAskMore(r, s, spec) {
		c.askMore(r, s, spec)
	}
	if spec.Gang && s.asking == 0 {
		c.refresh(r, s, spec)
	}
	return none, false
}

// enough reports whether the chosen members can be placed: all of a gang, or
// any other task.
func enough(members []workload.TaskAssignment, spec *workload.StepSpec) bool {
	return len(members) > 0 && (!spec.Gang || len(members) == spec.Tasks)
}

// shouldAskMore reports whether a blocked step is to name further workers. A slow
// call is worth it only where the granted workers could hardly take the step, or
// where it has waited long for them.
func (c *Core) shouldAskMore(r ready, s *step, spec *workload.StepSpec) bool {
	if !slow(r.job.Queue.Advice) || c.now.Sub(s.blockedSince) >= askMoreAfter {
		return true
	}
	c.wakeJob(r.job, s.blockedSince.Add(askMoreAfter))
	slots := 0
	for _, w := range c.usable {
		if _, granted := s.granted[w.ID]; granted {
			slots += slotsFor(w.Capacity, spec)
		}
	}
	return slots < wantedSlots*spec.Tasks
}

// askMore names workers that the step has not named before.
func (c *Core) askMore(r ready, s *step, spec *workload.StepSpec) {
	if s.namedAll == c.registrations || !c.mayAsk(r, s) {
		return
	}
	named := c.nameWorkers(r.job, r.index, spec)
	if len(named) == 0 {
		s.namedAll = c.registrations
		return
	}
	s.askAt = c.now.Add(askMoreInterval)
	c.ask(r.job, r.index, named)
}

func (c *Core) askFirst(r ready, s *step, spec *workload.StepSpec) {
	if !c.mayAsk(r, s) {
		return
	}
	c.ask(r.job, r.index, c.nameWorkers(r.job, r.index, spec))
	if s.asking == 0 {
		c.wakeJob(r.job, s.askAt)
	}
}

// renew asks for new tickets on the chosen workers and keeps their room until
// the answer. Where the tasks are placed one by one it names the other granted
// workers too: the tasks that still wait get their room within the life of the
// tickets.
func (c *Core) renew(r ready, s *step, members []workload.TaskAssignment) {
	if !c.mayAsk(r, s) {
		return
	}
	var named []workload.WorkerID
	for _, m := range members {
		if !slices.Contains(named, m.Worker) && !c.ticketGood(s, m.Worker) {
			named = append(named, m.Worker)
		}
	}
	if !r.job.Spec.Steps[r.index].Gang && len(members) < s.waiting {
		for _, w := range c.usable {
			if _, granted := s.granted[w.ID]; granted && len(named) < maxNamed && !slices.Contains(named, w.ID) && !c.ticketGood(s, w.ID) {
				named = append(named, w.ID)
			}
		}
	}
	c.ask(r.job, r.index, named)
	if s.asking == 0 {
		c.wakeJob(r.job, s.askAt)
		return
	}
	c.holdRoom(s, members, r.job.Spec.Steps[r.index].Size)
}

// ticketGood reports whether the ticket for a worker outlasts the start.
func (c *Core) ticketGood(s *step, worker workload.WorkerID) bool {
	return c.now.Add(callMargin).Before(s.granted[worker].until)
}

// reserve takes the chosen workers for the step.
func (c *Core) reserve(r ready, s *step, spec *workload.StepSpec, members []workload.TaskAssignment) workload.Assign {
	for _, m := range members {
		s.proposed[m.Index] = true
		c.workers[m.Worker].reserve(spec.Size)
	}
	s.waiting -= len(members)
	waited := time.Duration(0)
	if !s.blockedSince.IsZero() {
		waited = c.now.Sub(s.blockedSince)
	}
	s.blockedSince = time.Time{}
	c.decide(Decision{
		Kind: DecisionPlaced, Job: r.job.ID, Step: r.index, Count: len(members), Worker: members[0].Worker, Age: waited,
	})
	return workload.Assign{Step: workload.StepID{Job: r.job.ID, Step: r.index}, Members: members}
}

// reserve takes room that a proposal or a call to the adviser is to use.
func (w *worker) reserve(size workload.Resources) {
	w.reserved = w.reserved.Add(size)
	w.room = w.room.Sub(size)
	if w.onProbation() {
		w.room = workload.Resources{}
	}
}

// free is the room of a worker that nothing has or is about to get.
func (c *Core) free(w *worker) workload.Resources { return c.state.FreeCapacity(w.ID).Sub(w.reserved) }

// couldRun reports whether an empty worker could take a task of the step.
func couldRun(w *worker, spec *workload.StepSpec) bool {
	return spec.Size.Fits(w.Capacity) && (spec.RequiredLabel == "" || slices.Contains(w.Labels, spec.RequiredLabel))
}

// candidate is a worker that may take tasks of a step, with its room left.
type candidate struct {
	worker *worker
	room   workload.Resources
	count  int // tasks of the step on it
	near   bool
	slow   bool
	single bool // it gets one run at a time
}

// choose picks a worker for each waiting task, as far as there is room. With
// tickets only workers with a good ticket count. A gang is as slow as its slowest
// member, so it gets no slow worker where it can do without. Other steps leave
// the faster workers to gangs, except where they would be late.
func (c *Core) choose(r ready, s *step, spec *workload.StepSpec, tickets bool) []workload.TaskAssignment {
	candidates := c.candidates(r, s, spec, tickets, false)
	if !spec.Gang {
		return c.assign(r, s, spec, candidates, r.job.hurried(r.index, c.now))
	}
	if !roomForAll(candidates, spec) {
		return nil
	}
	c.fast = c.fast[:0]
	for _, k := range candidates {
		if !k.slow {
			c.fast = append(c.fast, k)
		}
	}
	if roomForAll(c.fast, spec) {
		candidates = c.fast
	}
	return c.assign(r, s, spec, candidates, false)
}

// roomForAll reports whether all tasks of a step find room on candidates.
func roomForAll(candidates []candidate, spec *workload.StepSpec) bool {
	slots := 0
	for i := range candidates {
		slots += candidates[i].slots(spec)
		if slots >= spec.Tasks {
			return true
		}
	}
	return false
}

// slots is how many more tasks of a step a candidate may take.
func (k *candidate) slots(spec *workload.StepSpec) int {
	slots := slotsFor(k.room, spec)
	if spec.MaxPerWorker > 0 {
		slots = min(slots, spec.MaxPerWorker-k.count)
	}
	if k.single {
		slots = min(slots, 1-k.count)
	}
	return max(slots, 0)
}

// assign gives the waiting tasks of a step to candidates, whose room it uses up.
func (c *Core) assign(r ready, s *step, spec *workload.StepSpec, candidates []candidate, fastFirst bool) []workload.TaskAssignment {
	var members []workload.TaskAssignment
	for index, task := range r.job.Steps[r.index].Tasks {
		if task.State != workload.TaskPending || task.Open || s.proposed[index] {
			continue
		}
		if _, waits := c.embargoed(workload.TaskID{Job: r.job.ID, Step: r.index, Index: index}); waits {
			continue
		}
		best := tightest(candidates, spec, fastFirst)
		if best == nil {
			break
		}
		best.room = best.room.Sub(spec.Size)
		best.count++
		members = append(members, workload.TaskAssignment{Index: index, Worker: best.worker.ID, Boot: best.worker.Boot})
	}
	return members
}

// candidates lists the workers that may take tasks of a step: those with room,
// or all of them. The list is valid until the next call.
func (c *Core) candidates(r ready, s *step, spec *workload.StepSpec, tickets, full bool) []candidate {
	advised := r.job.Queue.Advice != nil
	all := c.found[:0]
	selective := c.selective(s)
	last := selective && r.lastAttempt(s)
	for _, w := range c.usable {
		if !full && !spec.Size.Fits(w.room) {
			continue
		}
		if w.Service != r.job.Queue.Service || !couldRun(w, spec) || selective && s.suspect(w, spec, last) || (selective || c.scarce) && c.avoided(w) {
			continue
		}
		if _, granted := s.granted[w.ID]; advised && !granted || tickets && !c.ticketGood(s, w.ID) {
			continue
		}
		found := candidate{worker: w, room: w.room, slow: c.isSlow(w), single: w.onProbation() && (selective || !spec.Gang), near: spec.PreferredRack == "" || slices.Contains(w.Labels, spec.PreferredRack)}
		if spec.MaxPerWorker > 0 {
			found.count = c.countOn(r, w.ID)
		}
		all = append(all, found)
	}
	c.found = all
	return all
}

// mayRun reports whether a worker may get anything new.
func (c *Core) mayRun(w *worker) bool {
	return w.adopted && !w.silent && !w.ending && !w.Draining && !w.Gone && !(w.onProbation() && w.busy())
}

func (c *Core) countOn(r ready, id workload.WorkerID) int {
	count := 0
	for _, task := range r.job.Steps[r.index].Tasks {
		if task.Open && task.Worker == id {
			count++
		}
	}
	return count
}

// tightest returns the candidate that is left with the least room, so that
// large tasks find whole workers free. One on the preferred rack goes first, then
// a slow one, or with fastFirst one that is not.
func tightest(candidates []candidate, spec *workload.StepSpec, fastFirst bool) *candidate {
	var best *candidate
	for i := range candidates {
		next := &candidates[i]
		if !spec.Size.Fits(next.room) || spec.MaxPerWorker > 0 && next.count >= spec.MaxPerWorker || next.count > 0 && next.single {
			continue
		}
		if best == nil || next.goesBefore(best, fastFirst) {
			best = next
		}
	}
	return best
}

func (k *candidate) goesBefore(other *candidate, fastFirst bool) bool {
	switch {
	case k.near != other.near:
		return k.near
	case k.slow != other.slow:
		return k.slow != fastFirst
	}
	return k.room.MilliCPU < other.room.MilliCPU
}

// lateWork is the work of a gang that is late, in thousandths of a core and
// milliseconds, 0 for others.
func (r ready) lateWork() int64 {
	spec := &r.job.Spec.Steps[r.index]
	if !spec.Gang || r.lateness == onTime {
		return 0
	}
	return int64(spec.Tasks) * spec.Size.MilliCPU * spec.Estimate.Milliseconds()
}
