package workapi

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
)

// Times of the polls for the queue configuration.
const (
	// pollInterval is the time between two polls. A change has to be in force
	// within 2.5 s; it also announces this process to the leader as a caller.
	pollInterval = 500 * time.Millisecond
	// pollWait is how long a poll looks for a leader that answers. An answer that
	// has begun may take longer.
	pollWait = 1200 * time.Millisecond
	// submitWait is how long a submission waits for a leader before it is
	// refused as not taken: an election takes up to 0.9 s, and a client that
	// waits for 3 s can send again after the second that it is told.
	submitWait = 700 * time.Millisecond
	// submitUnknownWait is how long a submission that a replica may have taken is
	// held. A client that is told so sends it again under the same id, which is
	// of use only before its 3 s are over.
	submitUnknownWait = 1200 * time.Millisecond
)

var pollLimits = controlclient.WaitLimits{NotTaken: pollWait, Unknown: pollWait}

// submitLimits are for submissions; cancels go on until their deadline.
var submitLimits = controlclient.WaitLimits{NotTaken: submitWait, Unknown: submitUnknownWait}

// GateOptions are what a Gate needs.
type GateOptions struct {
	Control *controlclient.Client
	Logger  *eventlog.Logger
	Metrics *metrics.Set
	// Caller is the internal address of this process, where it takes advice
	// calls of the leader.
	Caller string
}

// Gate takes requests on jobs. Run follows the queue configuration; the other
// methods may be called by many goroutines.
type Gate struct {
	opts   GateOptions
	routes atomic.Pointer[Routes] // written by Run only; nil before the first configuration
}

// NewGate returns a gate.
func NewGate(opts GateOptions) *Gate { return &Gate{opts: opts} }

// Ready reports whether the gate knows a configuration.
func (g *Gate) Ready() bool { return g.routes.Load() != nil }

// Run follows the queue configuration until ctx ends. A version never goes back.
func (g *Gate) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := g.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if lost != (err != nil) {
			lost = err != nil
			if lost {
				g.opts.Logger.Log(eventQueuesLost, zap.Uint64("version", g.version()), zap.Error(err))
			} else {
				g.opts.Logger.Log(eventQueuesBack, zap.Uint64("version", g.version()))
			}
		}
		if pause.For(ctx, pollInterval) != nil {
			return
		}
	}
}

func (g *Gate) version() uint64 {
	if routes := g.routes.Load(); routes != nil {
		return routes.version
	}
	return 0
}

func (g *Gate) poll(ctx context.Context) error {
	query := state.Query{Queues: &state.QueuesQuery{Known: g.version(), Caller: g.opts.Caller}}
	answer, err := g.opts.Control.ReadWithin(ctx, query, pollLimits)
	if err != nil {
		return err
	}
	view := answer.Queues
	if view == nil {
		return controlclient.ErrMalformed
	}
	g.opts.Control.Learn(view.Replicas)
	if view.Config != nil && view.Config.Version > g.version() {
		g.routes.Store(NewRoutes(*view.Config))
		g.opts.Metrics.SetGauge(metricVersion, float64(view.Config.Version))
		g.opts.Logger.Log(eventQueues, zap.Uint64("version", view.Config.Version), zap.Int("queues", len(view.Config.Queues)))
	}
	return nil
}

// Route is the queue that a request goes to.
type Route struct {
	Queue   workload.Queue
	Version uint64 // of the configuration that decided
	Rest    string // of the path, behind the queue's prefix
}

// Find returns the queue of a request.
func (g *Gate) Find(host, path string) (Route, Outcome) {
	routes := g.routes.Load()
	if routes == nil {
		return Route{}, g.count("route", OutcomeNoConfig)
	}
	queue, rest, ok := routes.Find(host, path)
	if !ok {
		return Route{}, g.count("route", OutcomeNoQueue)
	}
	return Route{Queue: queue, Version: routes.version, Rest: rest}, OutcomeOK
}

func (g *Gate) count(call string, outcome Outcome) Outcome {
	g.opts.Metrics.Add(metricAnswers, call+"-"+string(outcome), 1)
	return outcome
}

// Submit accepts a job. OutcomeOK means that it is stored on a quorum.
func (g *Gate) Submit(ctx context.Context, route Route, id workload.JobID, spec workload.JobSpec) Outcome {
	started := time.Now()
	spec.Queue = route.Queue.Name
	command := state.Command{Workload: &workload.Command{Submit: &workload.Submit{ID: id, Spec: spec}}}
	outcome, err := g.propose(ctx, command, submitLimits)
	took := time.Since(started)
	g.opts.Metrics.Observe(metricSubmit, took)
	g.opts.Logger.Log(eventSubmitted, zap.String("job", string(id)), zap.String("queue", route.Queue.Name),
		zap.Uint64("version", route.Version), zap.String("outcome", string(outcome)), zap.Int64("took_ms", took.Milliseconds()), zap.Error(err))
	return g.count("submit", outcome)
}

// propose commits a workload command and returns its outcome.
func (g *Gate) propose(ctx context.Context, command state.Command, limits controlclient.WaitLimits) (Outcome, error) {
	result, err := g.opts.Control.ProposeWithin(ctx, command, limits)
	switch {
	case err != nil:
		return ofError(err), err
	case result.Workload == nil:
		return OutcomeUnknown, controlclient.ErrMalformed
	}
	return ofRefusal(result.Workload.Refusal), nil
}

// Cancel ends a job.
func (g *Gate) Cancel(ctx context.Context, id workload.JobID) Outcome {
	started := time.Now()
	outcome, err := g.propose(ctx, state.Command{Workload: &workload.Command{Cancel: &workload.Cancel{ID: id}}}, controlclient.WaitLimits{})
	g.opts.Logger.Log(eventCancelled, zap.String("job", string(id)), zap.String("outcome", string(outcome)),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), zap.Error(err))
	return g.count("cancel", outcome)
}

// State returns the state of a job.
func (g *Gate) State(ctx context.Context, id workload.JobID) (workload.JobState, Outcome) {
	started := time.Now()
	answer, err := g.opts.Control.Read(ctx, state.Query{StepJob: &state.StepJobQuery{ID: id}})
	g.opts.Metrics.Observe(metricRead, time.Since(started))
	if err != nil {
		return "", g.unread("state", string(id), started, err)
	}
	if answer.StepJob == nil {
		return "", g.count("state", OutcomeUnknownJob)
	}
	return answer.StepJob.State, g.count("state", OutcomeOK)
}

// Pending returns the number of jobs of a queue that have not started.
func (g *Gate) Pending(ctx context.Context, route Route) (int, Outcome) {
	started := time.Now()
	answer, err := g.opts.Control.Read(ctx, state.Query{Queue: &state.QueueQuery{Name: route.Queue.Name}})
	if err != nil || answer.Queue == nil {
		return 0, g.unread("pending", route.Queue.Name, started, err)
	}
	return answer.Queue.Pending, g.count("pending", OutcomeOK)
}

func (g *Gate) unread(call, id string, started time.Time, err error) Outcome {
	g.opts.Logger.Log(eventRead, zap.String("call", call), zap.String("id", id),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), zap.Error(err))
	return g.count(call, OutcomeNotTaken)
}
