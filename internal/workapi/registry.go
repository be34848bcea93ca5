package workapi

import (
	"context"
	"hash/fnv"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// LocalReplica reads the state that the control replica in this process has applied.
type LocalReplica interface {
	LocalWorkload(ctx context.Context, worker workload.WorkerID) (known workload.Worker, ok bool, err error)
	// LocalServices returns the services of the queue configuration in force. ok is false if there
	// is no configuration.
	LocalServices(ctx context.Context) (services []string, ok bool, err error)
	// GroupAddresses returns the address of the leader, or an empty string if it is unknown, and
	// the addresses of all members of the control group.
	GroupAddresses(ctx context.Context) (leader string, members []string, err error)
}

// RegistryOptions configures a Registry.
type RegistryOptions struct {
	Control     *controlclient.Client
	Local       LocalReplica
	SelfAddress string // internal address of this replica
	Logger      *eventlog.Logger
	Metrics     *metrics.Set
}

// Registry handles worker reports and queue configurations on a control replica. Its methods are
// safe for concurrent use.
type Registry struct{ opts RegistryOptions }

func NewRegistry(opts RegistryOptions) *Registry { return &Registry{opts: opts} }

// Reasons for which a report is rejected. It does not come from the worker that it names. Taken as a
// report of that worker, it would send calls elsewhere, or close runs that are still active.
var (
	errOtherSender    = merry.Sentinel("address, zone or service differs from that of the boot")
	errUnknownService = merry.Sentinel("the configuration does not have the service")
)

// ReportWorker handles a worker's report about itself. The report is acknowledged after it was
// committed; a report without changes needs no commit. next is the internal address of the replica
// that receives the worker's next reports. A follower is preferred, because the leader has the
// least processor time to spare.
//
// A replica that has applied no configuration rejects the report of an unknown boot: it may come from
// another sender, which only its service shows. The worker then calls the next replica.
func (r *Registry) ReportWorker(ctx context.Context, w workload.Worker) (next string, outcome Outcome) {
	known, ok, err := r.opts.Local.LocalWorkload(ctx, w.ID)
	if err != nil {
		return "", r.recordOutcome(w, OutcomeNotAccepted, err)
	}
	leader, members, err := r.opts.Local.GroupAddresses(ctx)
	if err != nil || leader == "" {
		return "", r.recordOutcome(w, OutcomeNotAccepted, err)
	}
	next = nextReportAddress(r.opts.SelfAddress, leader, members, w.ID)
	if ok && isUnchanged(known, w) {
		r.opts.Metrics.Add(metricRegistrations, "unchanged", 1)
		return next, OutcomeOK
	}
	if ok && w.Boot == known.Boot {
		if w.Address != known.Address || w.Zone != known.Zone || w.Service != known.Service {
			return "", r.recordOutcome(w, OutcomeInvalid, errOtherSender)
		}
		return next, r.commit(ctx, w, workload.Command{Register: &workload.Register{Worker: w}})
	}
	services, configured, err := r.opts.Local.LocalServices(ctx)
	switch {
	case err != nil:
		return "", r.recordOutcome(w, OutcomeNotAccepted, err)
	case !configured:
		return "", r.recordOutcome(w, OutcomeNoConfig, nil)
	case !slices.Contains(services, w.Service):
		return "", r.recordOutcome(w, OutcomeInvalid, errUnknownService)
	}
	return next, r.commit(ctx, w, workload.Command{Register: &workload.Register{Worker: w}})
}

// nextReportAddress returns the address of the replica that receives the next reports of a worker.
// This is the current replica, unless it is the leader and the group has other members.
func nextReportAddress(self, leader string, members []string, id workload.WorkerID) string {
	if self != leader {
		return self
	}
	var others []string
	for _, member := range members {
		if member != leader {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return self
	}
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return others[h.Sum32()%uint32(len(others))]
}

// isUnchanged reports whether a report contains nothing new. Reports of earlier boots are ignored,
// and a draining worker stays draining.
func isUnchanged(known, reported workload.Worker) bool {
	if reported.Boot < known.Boot {
		return true
	}
	if reported.Boot > known.Boot || reported.Draining && !known.Draining {
		return false
	}
	return known.Address == reported.Address && known.Zone == reported.Zone && known.Service == reported.Service &&
		slices.Equal(known.Labels, reported.Labels)
}

// Deregister handles the last report of a boot of a worker. The runs of the worker are given up
// when it no longer answers. The report may arrive late, when a later boot is already in use; that
// boot is not affected. Boot 0 means that the report names no boot and stands for the boot that the
// leader knows: if the report were rejected, a worker that is leaving would stay in use.
//
// The call completes without a commit only if this replica has already applied the departure of
// this boot or the registration of a later one. A worker that is unknown to this replica may be
// registered at the leader.
func (r *Registry) Deregister(ctx context.Context, id workload.WorkerID, boot workload.Boot) Outcome {
	known, ok, err := r.lookupWorker(ctx, id, boot == 0)
	if err != nil {
		return r.recordOutcome(workload.Worker{ID: id, Boot: boot}, OutcomeNotAccepted, err)
	}
	if boot == 0 {
		boot = known.Boot
	}
	leaving := workload.Worker{ID: id, Boot: boot, Address: known.Address, Draining: true}
	switch {
	case ok && boot == known.Boot && known.Draining:
		return OutcomeOK
	case ok && boot < known.Boot:
		return r.recordOutcome(leaving, OutcomeOK, nil)
	}
	return r.commit(ctx, leaving, workload.Command{Drain: &workload.Drain{Worker: id, Boot: boot}})
}

// lookupWorker returns a worker as known to this replica or, if askLeader is set, as known to the
// leader.
func (r *Registry) lookupWorker(ctx context.Context, id workload.WorkerID, askLeader bool) (known workload.Worker, ok bool, err error) {
	if !askLeader {
		return r.opts.Local.LocalWorkload(ctx, id)
	}
	answer, err := r.opts.Control.Read(ctx, state.Query{Called: &state.StepWorkerQuery{Worker: id}})
	if err != nil || answer.Called == nil {
		return workload.Worker{}, false, err
	}
	return *answer.Called, true, nil
}

func (r *Registry) commit(ctx context.Context, w workload.Worker, command workload.Command) Outcome {
	result, err := r.opts.Control.Propose(ctx, state.Command{Workload: &command})
	if err != nil {
		return r.recordOutcome(w, outcomeFromError(err), err)
	}
	// A report of a boot that has ended is acknowledged, because it requires no action.
	if result.Workload == nil {
		return r.recordOutcome(w, OutcomeUnknown, controlclient.ErrMalformed)
	}
	return r.recordOutcome(w, OutcomeOK, nil)
}

func (r *Registry) recordOutcome(w workload.Worker, outcome Outcome, err error) Outcome {
	r.opts.Metrics.Add(metricRegistrations, string(outcome), 1)
	r.opts.Logger.Log(eventWorkerReported, zap.String("worker", string(w.ID)), zap.Int64("boot", int64(w.Boot)),
		zap.String("address", w.Address), zap.Bool("draining", w.Draining), zap.Int64("leaves_in_ms", w.LeavesIn.Milliseconds()), zap.String("outcome", string(outcome)), zap.Error(err))
	return outcome
}

// Configure puts a queue configuration in force if its version is higher than that of the current
// one.
func (r *Registry) Configure(ctx context.Context, config workload.Config) Outcome {
	result, err := r.opts.Control.Propose(ctx, state.Command{Workload: &workload.Command{Configure: &config}})
	outcome := OutcomeUnknown
	inForce := uint64(0)
	switch {
	case err != nil:
		outcome = outcomeFromError(err)
	case result.Workload != nil:
		outcome = outcomeFromRefusal(result.Workload.Refusal)
		inForce = result.Workload.Version
	}
	r.opts.Logger.Log(eventConfigured, zap.Uint64("version", config.Version), zap.Uint64("in_force", inForce),
		zap.String("outcome", string(outcome)), zap.Error(err))
	return outcome
}

// Configuration returns the latest queue configuration, or OutcomeNotAccepted if this process
// cannot determine which one is the latest.
func (r *Registry) Configuration(ctx context.Context) (workload.Config, Outcome) {
	answer, err := r.opts.Control.Read(ctx, state.Query{Queues: &state.QueuesQuery{Document: true}})
	if err != nil || answer.Queues == nil {
		r.opts.Logger.Log(eventConfigReadFailed, zap.Error(err))
		return workload.Config{}, OutcomeNotAccepted
	}
	if answer.Queues.Config == nil {
		return workload.Config{}, OutcomeNoConfig
	}
	return *answer.Queues.Config, OutcomeOK
}
