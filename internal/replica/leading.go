package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/placement"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
)

// leaderState is the state that only the leader has. It is built from the cell state once the
// leader has applied everything that earlier leaders committed.
type leaderState struct {
	term            uint64
	scheduler       *placement.Scheduler
	granter         *lease.Granter
	allocations     map[cell.AllocationID]allocationInfo
	usageReportedAt map[cell.WorkerName]time.Time // last proposal of measured usage
	// expiring holds the epochs for which ExpireWorker was proposed. Their workers get no more
	// grants, even if the proposal was lost.
	expiring map[cell.WorkerName]cell.Epoch
	entries  map[cell.EntryName]entryLiveness

	limits          planLimits
	plansInFlight   int  // proposed and not applied
	eventsSincePlan bool // events were applied since the last plan
	nextPlanAt      time.Time
	schedulerWakeAt time.Time // when the scheduler plans next without an event
	nextAdvanceAt   time.Time
	advanceInFlight bool      // an Advance is proposed and not applied
	nextRepairAt    time.Time // zero if the cell file lists the members
}

// planLimits limits how often and how much a leader plans.
type planLimits struct {
	maxInFlight   int // plans that are proposed and not applied
	maxPlacements int // per plan
	minInterval   time.Duration
}

// allocationInfo is what the leader keeps about an allocation.
type allocationInfo struct {
	worker  cell.WorkerName
	started bool
}

// entryLiveness describes the last feed call of an entry process.
type entryLiveness struct {
	incarnation cell.Incarnation
	lastFeed    time.Time
	generation  cell.Generation // of the cell file in force in the entry process
	leaving     bool            // LeaveMember was proposed
}

// updateRole starts and stops the leader's work according to the role of the replica in the log.
func (t *task) updateRole(now time.Time) {
	t.status = t.core.Status()
	if t.status.Role != t.loggedRole || t.status.Leader != t.loggedLeader {
		t.loggedRole, t.loggedLeader = t.status.Role, t.status.Leader
		t.opts.Logger.Log(eventRoleChanged, zap.Uint8("role", uint8(t.status.Role)), zap.Uint64("term", t.status.Term),
			zap.Uint64("leader", uint64(t.status.Leader)))
	}
	leads := t.status.Role == replog.RoleLeader && t.status.Ready && t.applied >= t.status.Commit
	if t.leader != nil && (t.status.Role != replog.RoleLeader || t.leader.term != t.status.Term) {
		t.stopLeading()
	}
	if leads && t.leader == nil {
		t.startLeading(now)
	}
}

func (t *task) startLeading(now time.Time) {
	l := &leaderState{
		term:            t.status.Term,
		scheduler:       placement.New(placement.DefaultOptions()),
		granter:         lease.NewGranter(t.leaseTerms()),
		allocations:     map[cell.AllocationID]allocationInfo{},
		usageReportedAt: map[cell.WorkerName]time.Time{},
		expiring:        map[cell.WorkerName]cell.Epoch{},
		entries:         map[cell.EntryName]entryLiveness{},
		limits:          planLimits{maxInFlight: maxPlansInFlight, maxPlacements: maxPlacementsPerPlan, minInterval: minPlanInterval},
		eventsSincePlan: true,
	}
	if t.opts.DisableBatching {
		l.limits = planLimits{maxInFlight: 1, maxPlacements: 1}
	}
	t.leader = l
	for _, event := range t.state.ReplayEvents() {
		l.scheduler.Step(now, event)
		l.trackAllocation(event)
	}
	// The leases are counted from now. The former leader made its last grant before this replica
	// became leader, so none of its leases ends later.
	longest := t.longestLease(now)
	for _, worker := range t.state.Workers() {
		if worker.Registered {
			l.granter.Adopt(now, worker.Name, worker.Epoch, longest)
		}
	}
	for _, member := range t.cellMembers() {
		l.entries[member.Name] = entryLiveness{incarnation: member.Incarnation, lastFeed: now}
	}
	t.publishLeadershipStart()
	t.opts.Logger.Log(eventLeadershipStarted, zap.Uint64("term", l.term), zap.Uint64("applied", t.applied))
}

func (t *task) stopLeading() {
	t.leader = nil
	t.publishLeadershipEnd()
	t.opts.Logger.Log(eventLeadershipEnded, zap.Uint64("term", t.status.Term))
}

func (t *task) cellMembers() []state.Member {
	return t.state.Query(state.Query{Members: &state.MembersQuery{}}).Members
}

// proposeAsLeader commits a command of the leader itself. finish is called only while this replica
// leads in the same term.
func (t *task) proposeAsLeader(now time.Time, command state.Command, finish func(state.Result, error)) {
	l := t.leader
	command.At = now
	complete := func(got proposeResult, err error) {
		if t.leader == l && finish != nil {
			finish(got.result, err)
		}
	}
	encoded, err := codec.EncodeCommand(command)
	if err != nil {
		complete(proposeResult{}, err)
		return
	}
	t.appendCommand(now, command, encoded, 0, complete)
}

// leaderTick runs the leader's work that is due.
func (t *task) leaderTick(now time.Time) {
	if t.proposalsBlocked() {
		return
	}
	t.expireWorkers(now)
	if !now.Before(t.leader.nextAdvanceAt) {
		t.leader.nextAdvanceAt = now.Add(advanceInterval)
		t.proposeAdvance(now)
		t.removeSilentMembers(now)
		if t.opts.AutoVoters == 0 {
			t.followListedMembers(now)
		}
	}
	if t.opts.AutoVoters > 0 && !now.Before(t.leader.nextRepairAt) {
		t.leader.nextRepairAt = now.Add(repairInterval)
		t.repairGroup(now)
	}
	t.planPlacements(now)
}

// proposeAdvance proposes an Advance unless the previous one is still being committed. The next one
// follows advanceInterval after this one was applied: the steady clock counts that time, and whatever
// was proposed before this one has been applied by then.
func (t *task) proposeAdvance(now time.Time) {
	l := t.leader
	if l.advanceInFlight {
		return
	}
	l.advanceInFlight = true
	t.proposeAsLeader(now, state.Command{Advance: &state.Advance{}}, func(state.Result, error) {
		l.advanceInFlight = false
		l.nextAdvanceAt = time.Now().Add(advanceInterval)
	})
}

// proposalsBlocked reports whether the leader's own work has to wait because the log would refuse
// its commands.
func (t *task) proposalsBlocked() bool {
	return t.status.Role != replog.RoleLeader || t.status.Transferring || t.disk.full || t.disk.logFull
}

// nextDeadline returns when leaderTick has work to do without a message.
func (l *leaderState) nextDeadline() time.Time {
	deadlines := []time.Time{l.nextAdvanceAt, l.nextRepairAt, l.granter.NextDeadline()}
	if l.plansInFlight < l.limits.maxInFlight {
		wake := l.schedulerWakeAt
		if l.eventsSincePlan {
			wake = l.nextPlanAt
		}
		if !wake.IsZero() && wake.Before(l.nextPlanAt) {
			wake = l.nextPlanAt
		}
		deadlines = append(deadlines, wake)
	}
	return earliest(deadlines...)
}

// planPlacements proposes the placements and preemptions that the scheduler decides.
func (t *task) planPlacements(now time.Time) {
	l := t.leader
	if l.plansInFlight >= l.limits.maxInFlight || now.Before(l.nextPlanAt) {
		return
	}
	due := !l.schedulerWakeAt.IsZero() && !now.Before(l.schedulerWakeAt)
	if !l.eventsSincePlan && !due {
		return
	}
	l.eventsSincePlan = false
	l.nextPlanAt = now.Add(l.limits.minInterval)
	plan := l.scheduler.Plan(now, l.limits.maxPlacements)
	l.schedulerWakeAt = l.scheduler.NextWake(now)
	if len(plan.Placements) == 0 && len(plan.Preemptions) == 0 {
		return
	}
	plan.Basis = t.applied
	l.plansInFlight++
	t.proposeAsLeader(now, state.Command{CommitPlan: &plan}, func(result state.Result, err error) {
		t.planApplied(now, plan, result, err)
	})
}

func (t *task) planApplied(now time.Time, plan state.CommitPlan, result state.Result, err error) {
	l := t.leader
	l.plansInFlight--
	applied := state.PlanResult{}
	if err == nil && result.Plan != nil {
		applied = *result.Plan
	}
	if err != nil {
		t.opts.Metrics.Add(metricRetries, "plan-"+errorReason(err), 1)
	}
	l.scheduler.PlanApplied(now, plan, applied)
	l.eventsSincePlan = true
	placed := int64(0)
	for _, refusal := range applied.Placements {
		if refusal == state.RefusalNone {
			placed++
			continue
		}
		t.opts.Metrics.Add(metricPlacementRefusals, string(refusal), 1)
	}
	t.opts.Metrics.Add(metricPlacements, "", placed)
}

// expireWorkers proposes the end of the epochs whose leases have expired by this replica's clock.
func (t *task) expireWorkers(now time.Time) {
	l := t.leader
	for _, expiry := range l.granter.Expired(now) {
		if l.expiring[expiry.Worker] == expiry.Epoch {
			t.opts.Metrics.Add(metricRetries, "expire-worker", 1)
		}
		l.expiring[expiry.Worker] = expiry.Epoch
		t.opts.Logger.Log(eventWorkerLeaseExpired, zap.String("worker", string(expiry.Worker)), zap.Uint64("epoch", uint64(expiry.Epoch)))
		command := state.Command{ExpireWorker: &state.ExpireWorker{Worker: expiry.Worker, Epoch: expiry.Epoch}}
		t.proposeAsLeader(now, command, func(result state.Result, err error) {
			if err == nil && result.Refusal != state.RefusalNone {
				// The state does not have this epoch.
				l.granter.Remove(expiry.Worker, expiry.Epoch)
				delete(l.expiring, expiry.Worker)
			}
		})
	}
}

// removeSilentMembers removes the entry processes that have made no feed call within
// memberTimeout.
func (t *task) removeSilentMembers(now time.Time) {
	l := t.leader
	for _, member := range t.cellMembers() {
		last := l.entries[member.Name]
		if now.Sub(last.lastFeed) < memberTimeout || last.leaving {
			continue
		}
		last.leaving = true
		l.entries[member.Name] = last
		t.opts.Logger.Log(eventEntryTimedOut, zap.String("entry", string(member.Name)))
		command := state.Command{LeaveMember: &state.LeaveMember{Name: member.Name, Incarnation: member.Incarnation}}
		t.proposeAsLeader(now, command, func(_ state.Result, err error) {
			if err != nil {
				last.leaving = false
				l.entries[member.Name] = last
			}
		})
	}
}
