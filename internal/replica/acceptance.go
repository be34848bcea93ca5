package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

var metricJobRefusals = metrics.Declare("control_job_refusals_total", metrics.KindCounter, "new jobs that the leader refused before they were in the log, by queue")

// queueWaits are the waits of queues that the dispatching task has published in a term. They are not part
// of the replicated state.
type queueWaits struct {
	term  uint64
	at    time.Time
	waits []acceptance.QueueWait
	// counted is the index of the last entry whose job the waits count.
	counted uint64
}

// waitsCall replaces the waits of the queues. It expects no reply.
type waitsCall struct{ queueWaits }

func (waitsCall) refuse(error) {}

// PublishWaits replaces the waits of the queues while this replica leads in a term. counted is the index of
// the last entry that they count. While too many calls wait, the earlier waits stay until they are too old.
func (r *Replica) PublishWaits(term, counted uint64, waits []acceptance.QueueWait) {
	select {
	case r.calls <- waitsCall{queueWaits{term: term, at: time.Now(), waits: waits, counted: counted}}:
	default:
	}
}

// currentWaits returns the waits of the queues, none if this replica does not lead or they are too old.
func (t *task) currentWaits(now time.Time) []acceptance.QueueWait {
	if t.leader == nil || t.waits.term != t.leader.term || now.Sub(t.waits.at) > acceptance.MaxAge {
		return nil
	}
	return t.waits.waits
}

// receiveWaits replaces the waits of the queues.
func (t *task) receiveWaits(waits queueWaits) {
	t.waits = waits
	t.uncounted.Counted(waits.counted)
	if len(waits.waits) == 0 {
		t.uncounted.Clear()
	}
}

// countAccepted adds a job that is in the log now to the waits, while there are some. The dispatching task
// counts it later.
func (t *task) countAccepted(now time.Time, index uint64, command state.Command) {
	if command.Workload == nil || command.Workload.Submit == nil {
		return
	}
	if len(t.currentWaits(now)) == 0 {
		t.uncounted.Clear()
		return
	}
	spec := &command.Workload.Submit.Spec
	if queue := findQueue(t.state.Workload().Config(), spec.Queue); queue != nil {
		t.uncounted.Add(index, queue, spec, t.state.Workload().ServiceCapacity(queue.Service))
	}
}

// currentWait returns the wait of a queue with the jobs that the dispatching task has not counted.
func (t *task) currentWait(now time.Time, queue *workload.Queue) (wait acceptance.QueueWait, found bool) {
	if wait, found = acceptance.Find(t.currentWaits(now), queue.Name); !found {
		return wait, false
	}
	return t.uncounted.AddTo(wait, queue), true
}

// refuseJob refuses a new job before it is in the log if the memory for jobs has no room for it, or if it could
// not end in time. The result is that of a command that the state has refused, so that the caller treats it as
// final only if no earlier copy of the command may have been accepted. A job that the state knows or that is in
// the log is not refused. All entries of earlier terms are applied while this replica leads, and those of this
// term are pending.
func (t *task) refuseJob(now time.Time, c proposeCall) bool {
	if c.command.Workload == nil || c.command.Workload.Submit == nil {
		return false
	}
	submit := c.command.Workload.Submit
	queue := findQueue(t.state.Workload().Config(), submit.Spec.Queue)
	if queue == nil || t.state.Workload().Knows(submit.ID) || t.proposals.hasJob(submit.ID) {
		return false
	}
	retryAfter, refused := t.checkInTime(now, queue, submit)
	if !refused {
		// After the check of the time: an admitted job is counted.
		retryAfter, refused = t.checkJobMemory(now, submit)
	}
	if !refused {
		return false
	}
	t.opts.Metrics.Add(metricJobRefusals, queue.Name, 1)
	c.send(proposeResult{index: t.applied, result: state.Result{Workload: &workload.Result{Refusal: workload.RefusalOverloaded, RetryAfter: retryAfter}}})
	return true
}

// checkInTime reports whether a new job is refused because it could not end in time.
func (t *task) checkInTime(now time.Time, queue *workload.Queue, submit *workload.Submit) (retryAfter time.Duration, refused bool) {
	wait, found := t.currentWait(now, queue)
	if !found {
		return 0, false
	}
	return acceptance.Check(wait, queue, &submit.Spec, t.state.Workload().TeamCap(submit.Team))
}

func findQueue(config *workload.Config, name string) *workload.Queue {
	if config == nil {
		return nil
	}
	for i := range config.Queues {
		if config.Queues[i].Name == name {
			return &config.Queues[i]
		}
	}
	return nil
}

// hasJob reports whether the submission of a job is in the log or waits for it.
func (p *proposals) hasJob(id workload.JobID) bool {
	found := false
	p.forEachJob(func(submit *workload.Submit) { found = found || submit.ID == id })
	return found
}

// forEachJob calls visit for each submission of a job that is in the log or waits for it.
func (p *proposals) forEachJob(visit func(*workload.Submit)) {
	visitCommand := func(command *state.Command) {
		if command.Workload != nil && command.Workload.Submit != nil {
			visit(command.Workload.Submit)
		}
	}
	for _, pending := range p.pending {
		visitCommand(&pending.command)
	}
	for i := range p.queued {
		visitCommand(&p.queued[i].command)
	}
}
