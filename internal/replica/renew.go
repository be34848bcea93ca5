package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Reasons why a lease is not granted.
const (
	reasonNotRegistered    = "not-registered"
	reasonWrongIncarnation = "wrong-incarnation"
	reasonEpochEnded       = "epoch-ended"
)

// handleRenew grants the leases of a batch of workers and proposes their reports without waiting
// for the commit.
func (t *task) handleRenew(now time.Time, c renewCall) {
	if !t.holdsLeaderLease(now) {
		c.refuse(t.notLeaderError())
		return
	}
	response := &rpcpb.RenewResponse{}
	for _, renewal := range c.request.Renewals {
		grant := t.grant(now, renewal)
		if grant.Granted {
			t.opts.Metrics.Add(metricGrants, "", 1)
			t.proposeTaskReports(now, renewal)
		} else {
			t.opts.Metrics.Add(metricGrantRefusals, grant.Reason, 1)
		}
		response.Grants = append(response.Grants, grant)
	}
	c.send(response)
}

func (t *task) grant(now time.Time, renewal *rpcpb.WorkerRenewal) *rpcpb.WorkerGrant {
	worker, epoch := cell.WorkerName(renewal.Worker), cell.Epoch(renewal.Epoch)
	grant := &rpcpb.WorkerGrant{Worker: renewal.Worker, Sequence: renewal.Sequence}
	view := t.state.Worker(worker)
	switch {
	case !view.Registered:
		grant.Reason = reasonNotRegistered
	case uint64(view.Incarnation) != renewal.Incarnation:
		grant.Reason = reasonWrongIncarnation
	case view.Epoch != epoch || t.leader.expiring[worker] == epoch:
		grant.Reason = reasonEpochEnded
	default:
		t.leader.granter.Renew(now, worker, epoch)
		terms := t.leader.granter.Terms()
		grant.Granted = true
		grant.LeaseMillis = terms.Duration.Milliseconds()
		grant.StopMarginMillis = terms.StopMargin.Milliseconds()
		grant.DriftPpm = terms.DriftPPM
		grant.SyncIntervalMillis = t.cellFile.Cell.WorkerSyncInterval.Milliseconds()
	}
	return grant
}

// proposeTaskReports commits the reports of a worker if one of them changes the state of a task;
// measured usage alone is committed at most every minUsageInterval. The renewals themselves are
// not written to the log.
func (t *task) proposeTaskReports(now time.Time, renewal *rpcpb.WorkerRenewal) {
	l := t.leader
	worker := cell.WorkerName(renewal.Worker)
	changes := false
	var reports []state.TaskReport
	for _, in := range renewal.Reports {
		report, ok := decodeReport(in)
		if !ok {
			t.opts.Metrics.Add(metricCallRefusals, "malformed-report", 1)
			continue
		}
		reports = append(reports, report)
		changes = changes || report.Outcome != state.ReportRunning || !l.allocations[report.Allocation].started
	}
	usageDue := now.Sub(l.usageReportedAt[worker]) >= minUsageInterval
	if len(reports) == 0 || !changes && !usageDue {
		return
	}
	l.usageReportedAt[worker] = now
	command := state.Command{ReportTasks: &state.ReportTasks{Worker: worker, Epoch: cell.Epoch(renewal.Epoch), Reports: reports}}
	t.proposeAsLeader(now, command, func(_ state.Result, err error) {
		if err != nil {
			// The worker repeats its report with the next renewal.
			t.opts.Metrics.Add(metricRetries, "report-"+errorReason(err), 1)
			delete(l.usageReportedAt, worker)
		}
	})
}

// maxDetailBytes bounds the failure reason that a worker reports.
const maxDetailBytes = 1024

func decodeReport(in *rpcpb.TaskReport) (state.TaskReport, bool) {
	report := state.TaskReport{
		Allocation: cell.AllocationID(in.Allocation),
		Outcome:    state.TaskOutcome(in.State),
		Detail:     in.Detail,
		Used:       cell.Resources{MilliCPU: in.UsedMilliCpu, MemoryBytes: in.UsedMemoryBytes},
		UsageAge:   time.Duration(in.UsageAgeMillis) * time.Millisecond,
	}
	switch report.Outcome {
	case state.ReportRunning, state.ReportSucceeded, state.ReportFailed, state.ReportStopped, state.ReportCheckpointed:
	default:
		return report, false
	}
	return report, len(in.Detail) <= maxDetailBytes && !report.Used.IsNegative() && report.UsageAge >= 0
}
