package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Reasons why a lease is not granted.
const (
	notRegistered    = "not-registered"
	wrongIncarnation = "wrong-incarnation"
	epochEnded       = "epoch-ended"
)

// renew grants the leases of a batch of workers and commits what they report,
// without waiting for the commit.
func (t *task) renew(now time.Time, c renewCall) {
	if !t.mayAnswer(now) {
		c.refuse(t.notLeader())
		return
	}
	response := &rpcpb.RenewResponse{}
	for _, renewal := range c.request.Renewals {
		grant := t.grant(now, renewal)
		if grant.Granted {
			t.opts.Metrics.Add(metricGrants, "", 1)
			t.reportTasks(now, renewal)
		} else {
			t.opts.Metrics.Add(metricNoGrants, grant.Reason, 1)
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
		grant.Reason = notRegistered
	case uint64(view.Incarnation) != renewal.Incarnation:
		grant.Reason = wrongIncarnation
	case view.Epoch != epoch || t.leading.expiring[worker] == epoch:
		grant.Reason = epochEnded
	default:
		t.leading.granter.Renew(now, worker, epoch)
		terms := t.leading.granter.Terms()
		grant.Granted = true
		grant.LeaseMillis = terms.Duration.Milliseconds()
		grant.StopMarginMillis = terms.StopMargin.Milliseconds()
		grant.DriftPpm = terms.DriftPPM
		grant.SyncIntervalMillis = t.file.Cell.WorkerSyncInterval.Milliseconds()
	}
	return grant
}

// reportTasks commits the reports of a worker where one changes the state of a
// task, and measured usage by itself at most every usageInterval. Renewals as
// such are not written to the log.
func (t *task) reportTasks(now time.Time, renewal *rpcpb.WorkerRenewal) {
	l := t.leading
	worker := cell.WorkerName(renewal.Worker)
	changes := false
	var reports []state.TaskReport
	for _, in := range renewal.Reports {
		report, ok := decodeReport(in)
		if !ok {
			t.opts.Metrics.Add(metricRefusals, "malformed-report", 1)
			continue
		}
		reports = append(reports, report)
		changes = changes || report.Outcome != state.ReportRunning || !l.allocations[report.Allocation].started
	}
	usageDue := now.Sub(l.usageAt[worker]) >= usageInterval
	if len(reports) == 0 || !changes && !usageDue {
		return
	}
	l.usageAt[worker] = now
	command := state.Command{ReportTasks: &state.ReportTasks{Worker: worker, Epoch: cell.Epoch(renewal.Epoch), Reports: reports}}
	t.proposeOwn(now, command, func(_ state.Result, err error) {
		if err != nil {
			// The worker repeats its report with the next renewal.
			t.opts.Metrics.Add(metricRetries, "report-"+reasonOf(err), 1)
			delete(l.usageAt, worker)
		}
	})
}

// maxDetailBytes bounds the reason of a failure that a worker reports.
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
