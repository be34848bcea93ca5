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

// leading is what only the leader has. It is built from the state when the
// leader has applied everything that earlier leaders committed.
type leading struct {
	term        uint64
	scheduler   *placement.Scheduler
	granter     *lease.Granter
	allocations map[cell.AllocationID]allocationNews
	usageAt     map[cell.WorkerName]time.Time // last commit of measured usage
	// expiring holds the epochs for which ExpireWorker was proposed. Their
	// workers get no grant any more, also where the proposal got lost.
	expiring map[cell.WorkerName]cell.Epoch
	seen     map[cell.EntryName]sighting

	limits      planLimits
	plans       int  // on the way
	changed     bool // events since the last plan
	nextPlan    time.Time
	planWake    time.Time // when the scheduler wants to plan without an event
	nextAdvance time.Time
	nextRepair  time.Time // zero where the cell file lists the members
}

// planLimits bounds the plans of a leader.
type planLimits struct {
	plans      int // on the way
	placements int // in one plan
	interval   time.Duration
}

// allocationNews is what the leader remembers of an allocation.
type allocationNews struct {
	worker  cell.WorkerName
	started bool
}

// sighting is the last feed call of an entry process.
type sighting struct {
	incarnation cell.Incarnation
	at          time.Time
	generation  cell.Generation // in force there
	leaving     bool            // LeaveMember was proposed
}

// observeRole follows the role that the log gives this replica.
func (t *task) observeRole(now time.Time) {
	t.status = t.core.Status()
	if t.status.Role != t.loggedRole || t.status.Leader != t.loggedLeader {
		t.loggedRole, t.loggedLeader = t.status.Role, t.status.Leader
		t.opts.Logger.Log(eventRole, zap.Uint8("role", uint8(t.status.Role)), zap.Uint64("term", t.status.Term),
			zap.Uint64("leader", uint64(t.status.Leader)))
	}
	leads := t.status.Role == replog.RoleLeader && t.status.Ready && t.applied >= t.status.Commit
	if t.leading != nil && (t.status.Role != replog.RoleLeader || t.leading.term != t.status.Term) {
		t.stopLeading()
	}
	if leads && t.leading == nil {
		t.startLeading(now)
	}
}

func (t *task) startLeading(now time.Time) {
	l := &leading{
		term:        t.status.Term,
		scheduler:   placement.New(placement.DefaultOptions()),
		granter:     lease.NewGranter(t.terms()),
		allocations: map[cell.AllocationID]allocationNews{},
		usageAt:     map[cell.WorkerName]time.Time{},
		expiring:    map[cell.WorkerName]cell.Epoch{},
		seen:        map[cell.EntryName]sighting{},
		limits:      planLimits{plans: maxPlans, placements: maxPlacements, interval: planInterval},
		changed:     true,
	}
	if t.opts.Plain {
		l.limits = planLimits{plans: 1, placements: 1}
	}
	t.leading = l
	for _, event := range t.state.ReplayEvents() {
		l.scheduler.Step(now, event)
		l.follow(event)
	}
	// The granter starts only now, when this replica leads: a grant of the
	// former leader is not later than this moment.
	longest := t.longestLease(now)
	for _, worker := range t.state.Workers() {
		if worker.Registered {
			l.granter.Adopt(now, worker.Name, worker.Epoch, longest)
		}
	}
	for _, member := range t.members() {
		l.seen[member.Name] = sighting{incarnation: member.Incarnation, at: now}
	}
	t.workLeads()
	t.opts.Logger.Log(eventLeading, zap.Uint64("term", l.term), zap.Uint64("applied", t.applied))
}

func (t *task) stopLeading() {
	t.leading = nil
	t.workEnds()
	t.opts.Logger.Log(eventNotLeading, zap.Uint64("term", t.status.Term))
}

func (t *task) members() []state.Member {
	return t.state.Query(state.Query{Members: &state.MembersQuery{}}).Members
}

// proposeOwn commits a command of the leader itself. finish is called only
// while this replica leads in the same term.
func (t *task) proposeOwn(now time.Time, command state.Command, finish func(state.Result, error)) {
	l := t.leading
	command.At = now
	settle := func(got proposed, err error) {
		if t.leading == l && finish != nil {
			finish(got.result, err)
		}
	}
	encoded, err := codec.EncodeCommand(command)
	if err != nil {
		settle(proposed{}, err)
		return
	}
	t.append(now, command, encoded, 0, settle)
}

// lead does what is due on the leader.
func (t *task) lead(now time.Time) {
	if t.mayNotPropose() {
		return
	}
	t.expireWorkers(now)
	if !now.Before(t.leading.nextAdvance) {
		t.leading.nextAdvance = now.Add(advanceInterval)
		t.proposeOwn(now, state.Command{Advance: &state.Advance{}}, nil)
		t.removeSilentMembers(now)
		if t.opts.AutoVoters == 0 {
			t.changeGroup(now)
		}
	}
	if t.opts.AutoVoters > 0 && !now.Before(t.leading.nextRepair) {
		t.leading.nextRepair = now.Add(repairInterval)
		t.repairGroup(now)
	}
	t.plan(now)
}

// mayNotPropose reports whether the leader's own work has to wait: the log
// would refuse its commands.
func (t *task) mayNotPropose() bool {
	return t.status.Role != replog.RoleLeader || t.status.Transferring || t.disk.full
}

// nextDeadline is when lead has something to do without a message.
func (l *leading) nextDeadline() time.Time {
	deadlines := []time.Time{l.nextAdvance, l.nextRepair, l.granter.NextDeadline()}
	if l.plans < l.limits.plans {
		wake := l.planWake
		if l.changed {
			wake = l.nextPlan
		}
		if !wake.IsZero() && wake.Before(l.nextPlan) {
			wake = l.nextPlan
		}
		deadlines = append(deadlines, wake)
	}
	return earliest(deadlines...)
}

// plan commits what the scheduler decides.
func (t *task) plan(now time.Time) {
	l := t.leading
	if l.plans >= l.limits.plans || now.Before(l.nextPlan) {
		return
	}
	due := !l.planWake.IsZero() && !now.Before(l.planWake)
	if !l.changed && !due {
		return
	}
	l.changed = false
	l.nextPlan = now.Add(l.limits.interval)
	plan := l.scheduler.Plan(now, l.limits.placements)
	l.planWake = l.scheduler.NextWake(now)
	if len(plan.Placements) == 0 && len(plan.Preemptions) == 0 {
		return
	}
	plan.Basis = t.applied
	l.plans++
	t.proposeOwn(now, state.Command{CommitPlan: &plan}, func(result state.Result, err error) {
		t.planApplied(now, plan, result, err)
	})
}

func (t *task) planApplied(now time.Time, plan state.CommitPlan, result state.Result, err error) {
	l := t.leading
	l.plans--
	applied := state.PlanResult{}
	if err == nil && result.Plan != nil {
		applied = *result.Plan
	}
	if err != nil {
		t.opts.Metrics.Add(metricRetries, "plan-"+reasonOf(err), 1)
	}
	l.scheduler.PlanApplied(now, plan, applied)
	l.changed = true
	placed := int64(0)
	for _, refusal := range applied.Placements {
		if refusal == state.RefusalNone {
			placed++
			continue
		}
		t.opts.Metrics.Add(metricNotPlaced, string(refusal), 1)
	}
	t.opts.Metrics.Add(metricPlaced, "", placed)
}

// expireWorkers ends the epochs whose leases have run out by this clock.
func (t *task) expireWorkers(now time.Time) {
	l := t.leading
	for _, expiry := range l.granter.Expired(now) {
		if l.expiring[expiry.Worker] == expiry.Epoch {
			t.opts.Metrics.Add(metricRetries, "expire-worker", 1)
		}
		l.expiring[expiry.Worker] = expiry.Epoch
		t.opts.Logger.Log(eventExpire, zap.String("worker", string(expiry.Worker)), zap.Uint64("epoch", uint64(expiry.Epoch)))
		command := state.Command{ExpireWorker: &state.ExpireWorker{Worker: expiry.Worker, Epoch: expiry.Epoch}}
		t.proposeOwn(now, command, func(result state.Result, err error) {
			if err == nil && result.Refusal != state.RefusalNone {
				// The state knows no such epoch.
				l.granter.Forget(expiry.Worker, expiry.Epoch)
				delete(l.expiring, expiry.Worker)
			}
		})
	}
}

// removeSilentMembers removes the entry processes without a feed call.
func (t *task) removeSilentMembers(now time.Time) {
	l := t.leading
	for _, member := range t.members() {
		last := l.seen[member.Name]
		if now.Sub(last.at) < memberTimeout || last.leaving {
			continue
		}
		last.leaving = true
		l.seen[member.Name] = last
		t.opts.Logger.Log(eventMemberGone, zap.String("entry", string(member.Name)))
		command := state.Command{LeaveMember: &state.LeaveMember{Name: member.Name, Incarnation: member.Incarnation}}
		t.proposeOwn(now, command, func(_ state.Result, err error) {
			if err != nil {
				last.leaving = false
				l.seen[member.Name] = last
			}
		})
	}
}
