package workeragent

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// taskEnd reports to the agent loop that a task has ended.
type taskEnd struct {
	allocation       cell.AllocationID
	keepOnDisconnect bool // the task may continue without a lease
	outcome          agent.Outcome
	detail           string
}

// Run is one execution of a task, as the debug address reports it.
type Run struct {
	Allocation cell.AllocationID `json:"allocation"`
	Job        cell.JobID        `json:"job"`
	Task       int               `json:"task"`
	StartedAt  time.Time         `json:"started_at"`
	EndedAt    time.Time         `json:"ended_at,omitzero"`
	Outcome    agent.Outcome     `json:"outcome"`
}

// runner owns the running tasks and the list of executions. Its methods setLease, start and stop
// send messages to its goroutine.
type runner struct {
	leases   chan lease.Deadline
	starts   chan agent.Task
	stops    chan agent.Stop
	finished chan taskEnd
	queries  chan chan []Run
	ended    chan<- taskEnd

	lease       lease.Deadline
	running     map[cell.AllocationID]chan agent.StopKind
	runs        []Run
	pendingEnds []taskEnd // not yet received by the agent loop; at most one per task
}

func newRunner(ended chan<- taskEnd) *runner {
	return &runner{
		leases:   make(chan lease.Deadline),
		starts:   make(chan agent.Task),
		stops:    make(chan agent.Stop),
		finished: make(chan taskEnd),
		queries:  make(chan chan []Run),
		ended:    ended,
		running:  map[cell.AllocationID]chan agent.StopKind{},
	}
}

func (r *runner) setLease(ctx context.Context, end lease.Deadline) {
	select {
	case r.leases <- end:
	case <-ctx.Done():
	}
}

func (r *runner) start(ctx context.Context, task agent.Task) {
	select {
	case r.starts <- task:
	case <-ctx.Done():
	}
}

func (r *runner) stop(ctx context.Context, stop agent.Stop) {
	select {
	case r.stops <- stop:
	case <-ctx.Done():
	}
}

func (r *runner) run(ctx context.Context) {
	for {
		// Sending is one case of the select, because a blocking send to a busy agent loop could
		// deadlock: the agent loop may itself be blocked on sending a start or a stop.
		var out chan<- taskEnd
		var next taskEnd
		if len(r.pendingEnds) > 0 {
			out, next = r.ended, r.pendingEnds[0]
		}
		select {
		case <-ctx.Done():
			return
		case out <- next:
			r.pendingEnds = r.pendingEnds[1:]
		case r.lease = <-r.leases:
		case task := <-r.starts:
			r.startTask(ctx, task)
		case stop := <-r.stops:
			r.forwardStop(stop)
		case end := <-r.finished:
			r.recordEnd(end)
		case reply := <-r.queries:
			reply <- append([]Run(nil), r.runs...)
		}
	}
}

// forwardStop delivers a stop to a running task. Only the first stop of a task has an effect.
func (r *runner) forwardStop(stop agent.Stop) {
	running := r.running[stop.Allocation]
	if running == nil {
		return
	}
	select {
	case running <- stop.Kind:
	default:
	}
}

func (r *runner) startTask(ctx context.Context, task agent.Task) {
	if r.lease.Passed(time.Now()) {
		// The machine was suspended after the agent had decided the start.
		r.pendingEnds = append(r.pendingEnds, taskEnd{allocation: task.Allocation, outcome: agent.OutcomeStopped})
		return
	}
	stop := make(chan agent.StopKind, 1)
	r.running[task.Allocation] = stop
	r.runs = append(r.runs, Run{
		Allocation: task.Allocation, Job: task.Job, Task: task.Index,
		StartedAt: time.Now(), Outcome: agent.OutcomeRunning,
	})
	go func() {
		end := execute(ctx, task, stop)
		select {
		case r.finished <- end:
		case <-ctx.Done():
		}
	}()
}

// recordEnd records the end of a task. A task of a process that was suspended past the end of the
// lease must not count as completed, because the task may already run on another worker.
func (r *runner) recordEnd(end taskEnd) {
	if !end.keepOnDisconnect && r.lease.Passed(time.Now()) {
		end.outcome = agent.OutcomeStopped
	}
	delete(r.running, end.allocation)
	for i := range r.runs {
		if r.runs[i].Allocation == end.allocation {
			r.runs[i].EndedAt = time.Now()
			r.runs[i].Outcome = end.outcome
		}
	}
	r.pendingEnds = append(r.pendingEnds, end)
}

// execute runs one task until it completes or is stopped. The first word of the command selects the
// behavior: "sleep 200ms" succeeds after that time, "fail 50ms" fails after that time, and any
// other command runs until it is stopped.
func execute(ctx context.Context, task agent.Task, stop <-chan agent.StopKind) taskEnd {
	outcome, wait := parseCommand(task.Command)
	var completed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		completed = timer.C
	}
	end := taskEnd{allocation: task.Allocation, keepOnDisconnect: task.KeepOnDisconnect, outcome: outcome}
	select {
	case <-completed:
		if outcome == agent.OutcomeFailed {
			end.detail = "command says fail"
		}
	case kind := <-stop:
		end.outcome = agent.OutcomeStopped
		if kind == agent.StopCheckpoint {
			end.outcome = agent.OutcomeCheckpointed
		}
	case <-ctx.Done():
		end.outcome = agent.OutcomeStopped
	}
	return end
}

func parseCommand(command string) (agent.Outcome, time.Duration) {
	word, rest, _ := strings.Cut(command, " ")
	wait, err := time.ParseDuration(rest)
	if err != nil {
		return agent.OutcomeStopped, 0
	}
	switch word {
	case "sleep":
		return agent.OutcomeSucceeded, max(wait, time.Millisecond)
	case "fail":
		return agent.OutcomeFailed, max(wait, time.Millisecond)
	default:
		return agent.OutcomeStopped, 0
	}
}

// debugHandler responds to every request with the executions as JSON.
func (r *runner) debugHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		reply := make(chan []Run, 1)
		select {
		case r.queries <- reply:
		case <-request.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(<-reply)
	})
}
