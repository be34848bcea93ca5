package dispatch_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/workload"
)

// cellLoad describes a cell and what its clients submit.
type cellLoad struct {
	workers   int
	speeds    []float64 // of the workers, in turn
	load      float64   // offered work in relation to the capacity
	error     float64   // a declared run time is the true one times 1 - error to 1 + error
	scale     float64   // of all declared run times; 0 is 1
	longTasks float64   // share of the tasks that take up to seven times as long
	duration  time.Duration
	queues    []workload.Queue
	teams     []workload.Team
	// requesters is the number of processes that call the adviser, beside the leader.
	requesters int
	gangs      float64       // share of the steps that are gangs
	gangWidth  int           // maximum number of the tasks of a gang; 0 is that of other steps
	slowEvery  time.Duration // mean time until a worker becomes slow for some seconds; 0 is never
}

// cellResult is what the clients of a queue get.
type cellResult struct {
	jobs, inTime int
	worth        float64
	stalled      int             // runs that were given up as stalled
	starts       map[float64]int // starts, by speed of the worker
}

func (r cellResult) meanWorth() float64 { return r.worth / float64(max(r.jobs, 1)) }

func (r cellResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.jobs, 1)) }

// Delays of the simulated cell.
const (
	cellCommitTime = 25 * time.Millisecond
	cellCallTime   = 8 * time.Millisecond
	cellDrainTime  = 20 * time.Second
)

// loadSim plays a cell without faults: a leader, workers of different speeds, and clients whose
// declared run times are wrong.
type loadSim struct {
	cellLoad
	rng      *rand.Rand
	now      time.Duration
	events   events
	sequence int
	core     *dispatch.Core
	mirror   *workload.State
	workers  map[workload.WorkerID]*loadWorker
	order    []*loadWorker
	jobs     map[workload.JobID]*loadJob
	wakeAt   time.Duration
	// What the leader reports: late jobs by cause, the run times and those off by more than two times,
	// and the runs that it gave up.
	late         map[dispatch.LateCause]int
	runTimes     int
	mispredicted int
	givenUp      []dispatch.Decision
	results      map[string]*cellResult
}

type loadWorker struct {
	id      workload.WorkerID
	speed   float64
	present float64 // lower than speed while the worker is slow
	runs    map[workload.TaskID]*loadRun
	ends    []dispatch.ListedEnd
	lastEnd uint64
	hold    *dispatch.Hold
}

type loadRun struct {
	number    workload.RunNumber
	work      time.Duration // at speed 1; 0 while a gang is incomplete
	done      time.Duration // work that was done at updatedAt
	updatedAt time.Duration
	rate      float64
	version   int
}

type loadJob struct {
	queue      string
	spec       workload.JobSpec
	work       [][]time.Duration // true run time of each task on a worker of speed 1
	acceptedAt time.Duration
	objective  time.Duration
	ended      bool
	inTime     bool
	size       float64 // work of all tasks
}

func playCell(load cellLoad, seed uint64, options func(*dispatch.Options)) map[string]*cellResult {
	s := newLoadSim(load, seed, options)
	s.play()
	return s.results
}

func newLoadSim(load cellLoad, seed uint64, options func(*dispatch.Options)) *loadSim {
	s := &loadSim{
		cellLoad: load, late: map[dispatch.LateCause]int{}, rng: rand.New(rand.NewPCG(seed, 99)), mirror: workload.New(),
		workers: map[workload.WorkerID]*loadWorker{}, jobs: map[workload.JobID]*loadJob{}, results: map[string]*cellResult{},
	}
	initial := workload.New()
	apply := func(c workload.Command) {
		initial.Apply(epoch, 0, c)
		s.mirror.Apply(epoch, 0, c)
	}
	configuration := configureQueues(load.queues...)
	configuration.Configure.Teams = load.teams
	apply(configuration)
	for _, q := range load.queues {
		s.results[q.Name] = &cellResult{starts: map[float64]int{}}
	}
	for i := range load.workers {
		w := &loadWorker{id: workload.WorkerID(fmt.Sprintf("w%02d", i)), speed: load.speeds[i%len(load.speeds)], runs: map[workload.TaskID]*loadRun{}}
		w.present = w.speed
		s.workers[w.id] = w
		s.order = append(s.order, w)
		apply(registerWorker(w.id, 1))
	}
	opts := dispatch.Options{Term: 1, Lease: workerLease, MaxLease: maxWorkerLease, HoldWait: time.Second, ClockLagPPM: 20_000, SelfAddress: "self"}
	if options != nil {
		options(&opts)
	}
	s.core = dispatch.New(opts, initial, s.clock())
	s.after(0, func() {})
	s.after(300*time.Millisecond, s.submitNext)
	if s.slowEvery > 0 {
		for _, w := range s.order {
			s.after(time.Duration(s.rng.ExpFloat64()*float64(s.slowEvery)), func() { s.slowDown(w) })
		}
	}
	return s
}

func (s *loadSim) play() {
	for len(s.events) > 0 && s.now < s.duration+cellDrainTime {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.runLeader()
	}
}

func (s *loadSim) clock() time.Time { return epoch.Add(s.now) }

func (s *loadSim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + d, seq: s.sequence, do: do})
}

func (s *loadSim) runLeader() {
	for i := range s.requesters {
		s.core.RequesterSeen(s.clock(), fmt.Sprint("requester", i))
	}
	s.core.SetLeaderLease(s.clock(), lease.DeadlineIn(s.clock(), leaderLease))
	s.core.Tick(s.clock())
	e := s.core.Effects()
	for _, call := range e.Advice {
		s.advise(call)
	}
	for _, p := range e.Proposals {
		s.after(cellCommitTime, func() { s.commit(p) })
	}
	for _, h := range e.Holds {
		s.after(cellCallTime, func() { s.takeHold(s.workers[h.Worker], h) })
	}
	for _, st := range e.Starts {
		s.after(cellCallTime, func() { s.start(s.workers[st.Worker], st) })
	}
	for _, st := range e.Stops {
		s.after(cellCallTime, func() { s.stop(s.workers[st.Worker], st) })
	}
	for _, late := range e.LateJobs {
		s.late[late.Cause]++
	}
	for _, r := range e.RunTimes {
		s.runTimes++
		if r.Measured > 2*r.Predicted || r.Predicted > 2*r.Measured {
			s.mispredicted++
		}
	}
	for _, d := range e.Decisions {
		if d.Kind == dispatch.DecisionRunGivenUp {
			s.givenUp = append(s.givenUp, d)
		}
		if d.Kind == dispatch.DecisionRunStopped && d.Reason == "stalled" {
			s.results[s.jobs[d.Job].queue].stalled++
		}
	}
	if at := max(e.Deadline.Sub(epoch), s.now+time.Millisecond); !e.Deadline.IsZero() && (s.wakeAt <= s.now || at < s.wakeAt) {
		s.wakeAt = at
		s.after(at-s.now, func() {})
	}
}

// advise answers an advice call after the time that it takes at the adviser, with tickets for every other
// worker.
func (s *loadSim) advise(call dispatch.AdviceCall) {
	advice := s.mirror.Job(call.Step.Job).Queue.Advice
	grant := dispatch.Grant{OK: true, Tickets: map[workload.WorkerID]string{}, TicketTTL: advice.TicketTTL}
	for _, id := range call.Workers {
		hash := fnv.New32a()
		fmt.Fprint(hash, call.Step, id)
		if hash.Sum32()%2 == 0 {
			grant.Tickets[id] = "t"
		}
	}
	takes := advice.Base + time.Duration(len(call.Workers))*advice.PerWorker + 2*cellCallTime
	s.after(takes, func() { s.core.AdviceAnswered(s.clock(), call.ID, grant) })
}

func (s *loadSim) commit(p dispatch.Proposal) {
	s.apply(p.Command)
	s.core.ProposalCommitted(s.clock(), p.ID)
}

func (s *loadSim) apply(c workload.Command) {
	s.core.Apply(s.clock(), s.clock(), s.now, c)
	s.mirror.Apply(s.clock(), s.now, c)
	if c.Decide == nil {
		return
	}
	for _, end := range c.Decide.Ends {
		s.observeEnd(end.Task.Job)
	}
}

func (s *loadSim) observeEnd(id workload.JobID) {
	j := s.jobs[id]
	state := s.mirror.Job(id)
	if j == nil || j.ended || !state.State.Ended() {
		return
	}
	j.ended = true
	r := s.results[j.queue]
	took := s.now - j.acceptedAt
	switch {
	case state.State != workload.JobCompleted:
	case took <= j.objective:
		r.inTime++
		j.inTime = true
		r.worth++
	case took <= 3*j.objective:
		r.worth += 0.2
	}
}

// submitNext submits a job and schedules the next one, so that the offered work is the given share of
// the capacity.
func (s *loadSim) submitNext() {
	if s.now > s.duration {
		return
	}
	q := s.queues[s.rng.IntN(len(s.queues))]
	id := workload.JobID(fmt.Sprint("job", len(s.jobs)))
	j := &loadJob{queue: q.Name, acceptedAt: s.now, spec: workload.JobSpec{Queue: q.Name}}
	work := 0.0
	var path time.Duration
	for i := range 1 + s.rng.IntN(3) {
		usual := time.Duration(math.Exp(0.7*s.rng.NormFloat64()) * float64(600*time.Millisecond))
		spec := workload.StepSpec{Tasks: 1 + s.rng.IntN(5), Size: workload.Resources{MilliCPU: int64(500 * (1 + s.rng.IntN(3)))}}
		if i > 0 {
			spec.DependsOn = []int{i - 1}
		}
		spec.Gang = spec.Tasks > 1 && s.rng.Float64() < s.gangs
		if spec.Gang && s.gangWidth > 0 {
			spec.Tasks = 2 + s.rng.IntN(s.gangWidth-1)
		}
		scale := max(s.scale, 0) + float64(btoi(s.scale == 0))
		spec.Estimate = max(time.Duration(scale*(1-s.error+2*s.error*s.rng.Float64())*float64(usual)), 10*time.Millisecond)
		var tasks []time.Duration
		longest := time.Duration(0)
		for range spec.Tasks {
			takes := time.Duration((0.9 + 0.2*s.rng.Float64()) * float64(usual))
			if s.rng.Float64() < s.longTasks {
				takes = time.Duration((1 + 6*s.rng.Float64()) * float64(usual))
			}
			tasks = append(tasks, takes)
			longest = max(longest, takes)
		}
		for _, takes := range tasks {
			if spec.Gang {
				takes = longest
			}
			work += takes.Seconds() * float64(spec.Size.MilliCPU)
		}
		path += longest
		if q.Advice != nil {
			// The platform allows for a call that names 30 workers.
			path += q.Advice.Base + 30*q.Advice.PerWorker
		}
		j.work = append(j.work, tasks)
		j.spec.Steps = append(j.spec.Steps, spec)
	}
	j.objective = time.Duration(q.SlackFactor*float64(path)) + q.TargetLatency
	s.jobs[id], j.size = j, work
	s.results[q.Name].jobs++
	s.apply(workload.Command{Submit: &workload.Submit{ID: id, Spec: j.spec}})
	capacity := 0.0
	for _, w := range s.order {
		capacity += 4000 * w.speed
	}
	s.after(time.Duration(s.rng.ExpFloat64()*work/capacity/s.load*float64(time.Second)), s.submitNext)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *loadSim) countStart(w *loadWorker, st dispatch.Start) {
	starts := s.results[s.jobs[st.Task.Job].queue].starts
	starts[w.speed]++
}

func (s *loadSim) start(w *loadWorker, st dispatch.Start) {
	s.after(cellCallTime, func() {
		s.core.StartAnswered(s.clock(), st, dispatch.OutcomeOK, s.now.Milliseconds()+1000)
	})
	if w.runs[st.Task] != nil {
		return
	}
	r := &loadRun{number: st.Run}
	s.countStart(w, st)
	w.runs[st.Task] = r
	j := s.jobs[st.Task.Job]
	spec := &j.spec.Steps[st.Task.Step]
	if !spec.Gang {
		s.begin(w, st.Task, r, j.work[st.Task.Step][st.Task.Index])
		return
	}
	members := s.members(st.Task, st.Run)
	if len(members) < spec.Tasks {
		return
	}
	longest := time.Duration(0)
	for _, takes := range j.work[st.Task.Step] {
		longest = max(longest, takes)
	}
	for _, m := range members {
		s.begin(m.worker, m.id, m.worker.runs[m.id], longest)
	}
}

// member is a task that runs on a worker.
type member struct {
	worker *loadWorker
	id     workload.TaskID
}

// members returns the members of a gang that run.
func (s *loadSim) members(id workload.TaskID, number workload.RunNumber) []member {
	var members []member
	for i := range s.jobs[id.Job].spec.Steps[id.Step].Tasks {
		id.Index = i
		for _, w := range s.order {
			if w.runs[id] != nil && w.runs[id].number == number {
				members = append(members, member{w, id})
			}
		}
	}
	return members
}

func (s *loadSim) begin(w *loadWorker, id workload.TaskID, r *loadRun, work time.Duration) {
	r.work, r.updatedAt = work, s.now
	s.updateRate(w, id, r)
}

// updateRate follows a change of the speed of a run's worker, or of that of another member of its gang.
func (s *loadSim) updateRate(w *loadWorker, id workload.TaskID, r *loadRun) {
	if r.work == 0 {
		return
	}
	r.done = s.doneOf(r)
	r.updatedAt = s.now
	r.rate = w.present
	if s.jobs[id.Job].spec.Steps[id.Step].Gang {
		for _, m := range s.members(id, r.number) {
			r.rate = min(r.rate, m.worker.present)
		}
	}
	r.version++
	version := r.version
	s.after(time.Duration(float64(r.work-r.done)/r.rate), func() {
		if w.runs[id] == r && r.version == version {
			s.end(w, id, r, workload.EndDone)
		}
	})
}

func (s *loadSim) doneOf(r *loadRun) time.Duration {
	return r.done + time.Duration(float64(s.now-r.updatedAt)*r.rate)
}

// slowDown makes a worker slow for some seconds, and schedules the next time for this worker.
func (s *loadSim) slowDown(w *loadWorker) {
	set := func(present float64) {
		w.present = present
		for _, id := range sortedKeys(w.runs) {
			r := w.runs[id]
			for _, m := range s.members(id, r.number) {
				s.updateRate(m.worker, m.id, m.worker.runs[m.id])
			}
		}
	}
	set(w.speed * 0.2)
	s.after(time.Duration((3+3*s.rng.Float64())*float64(time.Second)), func() {
		set(w.speed)
		s.after(time.Duration(s.rng.ExpFloat64()*float64(s.slowEvery)), func() { s.slowDown(w) })
	})
}

func (s *loadSim) end(w *loadWorker, id workload.TaskID, r *loadRun, how workload.RunEnd) {
	delete(w.runs, id)
	w.lastEnd++
	w.ends = append(w.ends, dispatch.ListedEnd{Number: w.lastEnd, Task: id, Run: r.number, Result: how})
	s.answerHold(w, w.hold)
}

func (s *loadSim) stop(w *loadWorker, st dispatch.Stop) {
	s.after(cellCallTime, func() {
		s.core.StopAnswered(s.clock(), st, dispatch.OutcomeOK, s.now.Milliseconds()+1000)
	})
	if r := w.runs[st.Task]; r != nil && r.number == st.Run {
		s.end(w, st.Task, r, workload.EndStopped)
	}
}

func (s *loadSim) takeHold(w *loadWorker, h dispatch.Hold) {
	for len(w.ends) > 0 && w.ends[0].Number <= h.AckedEnd {
		w.ends = w.ends[1:]
	}
	w.hold = &h
	if len(w.ends) > 0 {
		s.answerHold(w, &h)
		return
	}
	s.after(h.Wait, func() { s.answerHold(w, &h) })
}

// answerHold answers a hold that was not answered yet.
func (s *loadSim) answerHold(w *loadWorker, h *dispatch.Hold) {
	if h == nil || w.hold != h {
		return
	}
	w.hold = nil
	report := dispatch.HoldReport{Clock: s.now.Milliseconds() + 1000, Boot: 1, Ends: append([]dispatch.ListedEnd(nil), w.ends...)}
	for _, id := range sortedKeys(w.runs) {
		r := w.runs[id]
		percent := 0
		if r.work > 0 {
			percent = min(int(s.doneOf(r)*100/r.work), 99)
		}
		report.Active = append(report.Active, dispatch.ActiveRun{Task: id, Run: r.number, Percent: percent})
	}
	s.after(cellCallTime, func() { s.core.HoldAnswered(s.clock(), h.Call, report) })
}
