package entry

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/relay"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// stopCheckpoint and stopNow are the wire values of Assignment.Stop.
const (
	stopCheckpoint = "checkpoint"
	stopNow        = "stop"
)

func toWorkerViews(changed []*rpcpb.WorkerAssignments) []state.WorkerView {
	views := make([]state.WorkerView, 0, len(changed))
	for _, c := range changed {
		view := state.WorkerView{
			Name: cell.WorkerName(c.Worker), Registered: true, Epoch: cell.Epoch(c.Epoch), Version: c.Version,
		}
		for _, a := range c.Assignments {
			view.Assignments = append(view.Assignments, toAssignment(a))
		}
		views = append(views, view)
	}
	return views
}

func toAssignment(a *rpcpb.Assignment) state.Assignment {
	assignment := state.Assignment{
		Allocation: cell.Allocation{
			ID:           cell.AllocationID(a.Allocation),
			Task:         cell.TaskID{Job: cell.JobID(a.Job), Index: int(a.Task)},
			Size:         cell.Resources{MilliCPU: a.MilliCpu, MemoryBytes: a.MemoryBytes, Accelerators: a.Accelerators},
			OnDisconnect: cell.DisconnectStop,
			Checkpoints:  a.Stop == stopCheckpoint,
		},
		Command: a.Command,
		RunTime: time.Duration(a.RunMillis) * time.Millisecond,
		Stop:    a.Stop != "",
	}
	if a.KeepOnDisconnect {
		assignment.Allocation.OnDisconnect = cell.DisconnectKeep
	}
	return assignment
}

func toAPIAssignment(a state.Assignment) api.Assignment {
	out := api.Assignment{
		Allocation: a.Allocation.ID, Job: a.Allocation.Task.Job, Task: a.Allocation.Task.Index,
		MilliCPU: a.Allocation.Size.MilliCPU, MemoryBytes: a.Allocation.Size.MemoryBytes,
		Accelerators: a.Allocation.Size.Accelerators,
		Command:      a.Command, RunMillis: a.RunTime.Milliseconds(),
		KeepOnDisconnect: a.Allocation.OnDisconnect == cell.DisconnectKeep,
	}
	switch {
	case a.Stop && a.Allocation.Checkpoints:
		out.Stop = stopCheckpoint
	case a.Stop:
		out.Stop = stopNow
	}
	return out
}

func toAPISynced(response relay.Response) api.WorkerSyncResponse {
	out := api.WorkerSyncResponse{
		Epoch: response.Epoch, Sequence: response.Sequence,
		Granted:     response.Status == relay.StatusOK && response.Sequence != 0,
		LeaseMillis: response.Terms.Duration.Milliseconds(), StopMarginMillis: response.Terms.StopMargin.Milliseconds(),
		DriftPPM: response.Terms.DriftPPM, SyncIntervalMillis: response.SyncInterval.Milliseconds(),
		Changed: response.Changed, Version: response.Version,
	}
	switch response.Status {
	case relay.StatusEpochEnded:
		out.Reason = api.ReasonEpochEnded
	case relay.StatusRefused:
		out.Reason = api.ReasonNotAdmitted
	}
	for _, a := range response.Assignments {
		out.Assignments = append(out.Assignments, toAPIAssignment(a))
	}
	return out
}

func toSync(name string, message api.WorkerSyncRequest) relay.Sync {
	sync := relay.Sync{
		Worker: cell.Worker{
			Name: cell.WorkerName(name), Incarnation: message.Incarnation,
			Region: message.Region, FailureDomain: message.FailureDomain, Rack: message.Rack, Pool: message.Pool,
			Capacity: cell.Resources{
				MilliCPU: message.MilliCPU, MemoryBytes: message.MemoryBytes, Accelerators: message.Accelerators,
			},
		},
		Epoch: message.Epoch, Sequence: message.Sequence, Version: message.Version,
		MaxWait: time.Duration(message.MaxWaitMillis) * time.Millisecond, Leaving: message.Leaving,
	}
	for _, r := range message.Reports {
		sync.Reports = append(sync.Reports, state.TaskReport{
			Allocation: r.Allocation, Outcome: state.TaskOutcome(r.Outcome), Detail: r.Detail,
			Used:     cell.Resources{MilliCPU: r.UsedMilliCPU, MemoryBytes: r.UsedMemoryBytes},
			UsageAge: time.Duration(r.UsageAgeMillis) * time.Millisecond,
		})
	}
	return sync
}

func toRenewRequest(self state.Member, renewals []relay.Renewal) *rpcpb.RenewRequest {
	request := &rpcpb.RenewRequest{Entry: string(self.Name), EntryIncarnation: uint64(self.Incarnation)}
	for _, r := range renewals {
		message := &rpcpb.WorkerRenewal{
			Worker: string(r.Worker), Incarnation: uint64(r.Incarnation), Epoch: uint64(r.Epoch), Sequence: r.Sequence,
		}
		for _, report := range r.Reports {
			message.Reports = append(message.Reports, &rpcpb.TaskReport{
				Allocation: uint64(report.Allocation), State: string(report.Outcome), Detail: report.Detail,
				UsedMilliCpu: report.Used.MilliCPU, UsedMemoryBytes: report.Used.MemoryBytes,
				UsageAgeMillis: report.UsageAge.Milliseconds(),
			})
		}
		request.Renewals = append(request.Renewals, message)
	}
	return request
}

func toGrants(response *rpcpb.RenewResponse) []relay.Grant {
	grants := make([]relay.Grant, 0, len(response.Grants))
	for _, g := range response.Grants {
		grants = append(grants, relay.Grant{
			Worker: cell.WorkerName(g.Worker), Sequence: g.Sequence, Granted: g.Granted,
			Terms: lease.Terms{
				Duration:   time.Duration(g.LeaseMillis) * time.Millisecond,
				StopMargin: time.Duration(g.StopMarginMillis) * time.Millisecond,
				DriftPPM:   g.DriftPpm,
			},
			SyncInterval: time.Duration(g.SyncIntervalMillis) * time.Millisecond,
		})
	}
	return grants
}
