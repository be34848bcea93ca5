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

// Intervals and timeouts of queue configuration polls and submissions.
const (
	// pollInterval is the time between two polls of the queue configuration. A change must be in
	// force within 2.5 s. Each poll also tells the leader that this process is able to call the
	// adviser.
	pollInterval = 500 * time.Millisecond
	// pollLeaderTimeout limits how long a poll searches for a leader that responds. A response that
	// has started may take longer.
	pollLeaderTimeout = 1200 * time.Millisecond
	// submitLeaderTimeout limits how long a submission waits for a leader before it is rejected as
	// not accepted. An election takes up to 0.9 s. A client that waits for 3 s in total is told to
	// retry after 1 s and so has time to send the job again.
	submitLeaderTimeout = 700 * time.Millisecond
	// submitUnknownTimeout limits how long a submission waits if a replica may have accepted it.
	// The client then sends it again under the same id, which only helps within the client's 3 s.
	submitUnknownTimeout = 1200 * time.Millisecond
)

var pollLimits = controlclient.WaitLimits{NotAccepted: pollLeaderTimeout, OutcomeUnknown: pollLeaderTimeout}

// submitLimits apply to submissions only. Cancellations are retried until their deadline.
var submitLimits = controlclient.WaitLimits{NotAccepted: submitLeaderTimeout, OutcomeUnknown: submitUnknownTimeout}

// JobServiceOptions configures a JobService.
type JobServiceOptions struct {
	Control *controlclient.Client
	Logger  *eventlog.Logger
	Metrics *metrics.Set
	// SelfAddress is the internal address at which this process accepts the leader's requests to
	// call the adviser.
	SelfAddress string
	// Document is called by Run with the document of each new configuration: the part of it that the
	// control replica passes on to entry processes. It may be nil.
	Document func(document []byte)
}

// JobService handles requests on jobs and queues. Run keeps the queue configuration up to date; the
// other methods are safe for concurrent use.
type JobService struct {
	opts   JobServiceOptions
	routes atomic.Pointer[confirmedRoutes] // written by Run only; nil until the first configuration arrives
	config workload.Config                 // that of routes; used by Run only
	// changesRefused is set once a replica of an earlier version has refused a query for changes; used by Run only.
	changesRefused bool
}

func NewJobService(opts JobServiceOptions) *JobService { return &JobService{opts: opts} }

// Ready reports whether a queue configuration is known.
func (s *JobService) Ready() bool { return s.routes.Load() != nil }

// Run polls the queue configuration until ctx ends. A configuration with a lower version than the
// current one is ignored.
func (s *JobService) Run(ctx context.Context) {
	unavailable := false
	for ctx.Err() == nil {
		err := s.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if unavailable != (err != nil) {
			unavailable = err != nil
			if unavailable {
				s.opts.Logger.Log(eventControlUnavailable, zap.Uint64("version", s.configVersion()), zap.Error(err))
			} else {
				s.opts.Logger.Log(eventControlAvailable, zap.Uint64("version", s.configVersion()))
			}
		}
		if pause.For(ctx, s.routes.Load().nextPoll(err)) != nil {
			return
		}
	}
}

func (s *JobService) configVersion() uint64 {
	if routes := s.routes.Load(); routes != nil {
		return routes.version
	}
	return 0
}

func (s *JobService) poll(ctx context.Context) error {
	askedAt := time.Now()
	known := s.configVersion()
	query := state.Query{Queues: &state.QueuesQuery{Known: known, Changes: known > 0 && !s.changesRefused, AdviceRequester: s.opts.SelfAddress}}
	answer, err := s.opts.Control.ReadWithin(ctx, query, pollLimits)
	if err != nil {
		s.changesRefused = s.changesRefused || query.Queues.Changes && controlclient.IsRefusedAsMalformed(err)
		return err
	}
	view := answer.Queues
	if view == nil {
		return controlclient.ErrMalformed
	}
	s.opts.Control.SetMembers(view.Replicas)
	config := view.Config
	if view.Change != nil {
		changed, ok := s.config.Apply(*view.Change)
		if !ok {
			return controlclient.ErrMalformed
		}
		config = &changed
	}
	if config == nil || config.Version <= known {
		s.routes.Store(s.routes.Load().confirmed(view.Version, askedAt))
		return nil
	}
	s.config = *config
	s.routes.Store(&confirmedRoutes{RoutingTable: NewRoutingTable(*config), askedAt: askedAt})
	s.opts.Metrics.SetGauge(metricQueuesVersion, float64(config.Version))
	// A replica of an older version passes on no document.
	if s.opts.Document != nil && config.Document != nil {
		s.opts.Document(config.Document)
	}
	fields := []zap.Field{zap.Uint64("version", config.Version), zap.Int("queues", len(config.Queues))}
	if view.Change != nil {
		fields = append(fields, zap.Uint64("changed_from", known), zap.Int("queues_changed", len(view.Change.To.Queues)+len(view.Change.Removed)))
	}
	s.opts.Logger.Log(eventQueuesChanged, fields...)
	return nil
}

// Route is the queue that a request is routed to.
type Route struct {
	Queue      workload.Queue
	Version    uint64 // version of the configuration that was used
	PathSuffix string // the part of the path after the queue's prefix
	Caller     workload.Caller
}

// FindQueue returns the queue for a host and path, and on whose behalf a call with the given key acts. An
// empty key stands for none.
func (s *JobService) FindQueue(host, path string, key workload.Key) (Route, Outcome) {
	routes := s.routes.Load()
	if routes == nil {
		return Route{}, s.countOutcome("route", OutcomeNoConfig)
	}
	queue, rest, ok := routes.Find(host, path)
	if !ok {
		return Route{}, s.countOutcome("route", OutcomeNoQueue)
	}
	if routes.needsKey(queue) && !routes.keysConfirmed(time.Now()) {
		return Route{}, s.countOutcome("route", OutcomeOldKeys)
	}
	caller, ok := routes.caller(queue, key)
	if !ok {
		s.opts.Logger.Log(eventBadKey, zap.String("queue", queue.Name), zap.Uint64("version", routes.version), zap.Bool("key_sent", key != ""))
		return Route{}, s.countOutcome("route", OutcomeBadKey)
	}
	return Route{Queue: queue, Version: routes.version, PathSuffix: rest, Caller: caller}, OutcomeOK
}

func (s *JobService) countOutcome(call string, outcome Outcome) Outcome {
	s.opts.Metrics.Add(metricAnswers, call+"-"+string(outcome), 1)
	return outcome
}

// maxTasksPerJob limits the memory that one job takes on every replica of the control group: about 80 bytes
// for each task.
const maxTasksPerJob = 20_000

// isTooLarge reports whether a job has more tasks than any replica is to keep for one job.
func isTooLarge(spec workload.JobSpec) bool {
	tasks := 0
	for _, step := range spec.Steps {
		if step.Tasks > maxTasksPerJob {
			return true
		}
		tasks += max(step.Tasks, 0)
	}
	return tasks > maxTasksPerJob
}

// Submit submits a job. OutcomeOK means that the job is stored on a quorum. retryAfter is when a job that was
// refused may find room, if that is known.
func (s *JobService) Submit(ctx context.Context, route Route, id workload.JobID, spec workload.JobSpec) (outcome Outcome, retryAfter time.Duration) {
	if isTooLarge(spec) {
		return s.countOutcome("submit", OutcomeInvalid), 0
	}
	started := time.Now()
	spec.Queue = route.Queue.Name
	command := state.Command{Workload: &workload.Command{Submit: &workload.Submit{ID: id, Spec: spec, Team: route.Caller.Team}}}
	outcome, result, err := s.propose(ctx, command, submitLimits)
	elapsed := time.Since(started)
	s.opts.Metrics.Observe(metricSubmitDelay, elapsed)
	s.opts.Logger.Log(eventSubmitted, zap.String("job", string(id)), zap.String("queue", route.Queue.Name), zap.String("team", string(route.Caller.Team)),
		zap.Uint64("version", route.Version), zap.String("outcome", string(outcome)), zap.Int64("took_ms", elapsed.Milliseconds()), zap.Int64("retry_after_ms", result.RetryAfter.Milliseconds()), zap.Error(err))
	if outcome == OutcomeTeamLimit || outcome == OutcomeBeyondShare {
		s.opts.Metrics.AddForTeam(metricTeamRefusals, string(route.Caller.Team), string(outcome), 1)
	}
	return s.countOutcome("submit", outcome), result.RetryAfter
}

// propose commits a workload command and returns its outcome.
func (s *JobService) propose(ctx context.Context, command state.Command, limits controlclient.WaitLimits) (Outcome, workload.Result, error) {
	result, err := s.opts.Control.ProposeWithin(ctx, command, limits)
	switch {
	case err != nil:
		return outcomeFromError(err), workload.Result{}, err
	case result.Workload == nil:
		return OutcomeUnknown, workload.Result{}, controlclient.ErrMalformed
	}
	return outcomeFromRefusal(result.Workload.Refusal), *result.Workload, nil
}

// Cancel cancels a job.
func (s *JobService) Cancel(ctx context.Context, route Route, id workload.JobID) Outcome {
	started := time.Now()
	command := &workload.Cancel{ID: id, Team: route.Caller.Team, AnonymousQueue: route.Caller.AnonymousQueue}
	outcome, _, err := s.propose(ctx, state.Command{Workload: &workload.Command{Cancel: command}}, controlclient.WaitLimits{})
	s.opts.Logger.Log(eventCancelled, zap.String("job", string(id)), zap.String("outcome", string(outcome)),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), zap.Error(err))
	return s.countOutcome("cancel", outcome)
}

// JobState returns the state of a job.
func (s *JobService) JobState(ctx context.Context, route Route, id workload.JobID) (workload.JobState, Outcome) {
	started := time.Now()
	query := &state.StepJobQuery{ID: id, Team: route.Caller.Team, AnonymousQueue: route.Caller.AnonymousQueue}
	answer, err := s.opts.Control.Read(ctx, state.Query{StepJob: query})
	s.opts.Metrics.Observe(metricReadDelay, time.Since(started))
	if err != nil {
		return "", s.readFailed("state", string(id), started, err)
	}
	if answer.StepJob == nil {
		return "", s.countOutcome("state", OutcomeUnknownJob)
	}
	return answer.StepJob.State, s.countOutcome("state", OutcomeOK)
}

// PendingJobs returns the number of jobs in a queue that have not started.
func (s *JobService) PendingJobs(ctx context.Context, route Route) (int, Outcome) {
	started := time.Now()
	answer, err := s.opts.Control.Read(ctx, state.Query{Queue: &state.QueueQuery{Name: route.Queue.Name}})
	if err != nil || answer.Queue == nil {
		return 0, s.readFailed("pending", route.Queue.Name, started, err)
	}
	return answer.Queue.Pending, s.countOutcome("pending", OutcomeOK)
}

func (s *JobService) readFailed(call, id string, started time.Time, err error) Outcome {
	s.opts.Logger.Log(eventReadFailed, zap.String("call", call), zap.String("id", id),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), zap.Error(err))
	return s.countOutcome(call, OutcomeNotAccepted)
}
