package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/state"
)

// updateAfterApply updates the state that is derived from the cell state after a command was
// applied.
func (t *task) updateAfterApply(now time.Time, index uint64, command state.Command, result state.Result, events []state.Event) {
	if (command.JoinMember != nil || command.LeaveMember != nil) && result.Refusal == state.RefusalNone {
		t.membersIndex = index
		t.feeds.membersChanged = true
		t.updateEntryLiveness(now, command)
	}
	for _, event := range events {
		if event.ConfigChanged != nil {
			t.activateCellFile(event.ConfigChanged.Record, now)
			t.feeds.configChanged = true
		}
		if l := t.leader; l != nil {
			l.eventsSincePlan = true
			l.scheduler.Step(now, event)
			t.updateLeases(now, event)
			t.feeds.markChanged(l.trackAllocation(event))
		}
	}
}

// updateEntryLiveness adds and removes the leader's liveness records as entry processes join and
// leave.
func (t *task) updateEntryLiveness(now time.Time, command state.Command) {
	if t.leader == nil {
		return
	}
	entries := t.leader.entries
	if joined := command.JoinMember; joined != nil && entries[joined.Member.Name].incarnation != joined.Member.Incarnation {
		entries[joined.Member.Name] = entryLiveness{incarnation: joined.Member.Incarnation, lastFeed: now}
	}
	if left := command.LeaveMember; left != nil && entries[left.Name].incarnation == left.Incarnation {
		delete(entries, left.Name)
	}
}

func (t *task) updateLeases(now time.Time, event state.Event) {
	l := t.leader
	switch {
	case event.ConfigChanged != nil:
		l.granter.SetTerms(t.leaseTerms())
	case event.WorkerAdded != nil:
		// A lease for a new worker makes it expire even if it never renews.
		l.granter.Renew(now, event.WorkerAdded.Worker.Name, event.WorkerAdded.Epoch)
	case event.WorkerRemoved != nil:
		removed := event.WorkerRemoved
		l.granter.Remove(removed.Worker, removed.Epoch)
		if l.expiring[removed.Worker] == removed.Epoch {
			delete(l.expiring, removed.Worker)
		}
	}
}

// formerTerms are lease terms that a newer cell file has replaced.
type formerTerms struct {
	terms lease.Terms
	until time.Time // when leases granted under them have ended, by this replica's clock
}

// activateCellFile switches to a cell file that the state has put in force. Files are checked before
// they are committed, so a fault means that another version of the program accepted the file; the
// replica then keeps the former terms.
func (t *task) activateCellFile(record state.ConfigRecord, now time.Time) {
	if record.Body == nil {
		return // the text of an old generation is not kept
	}
	file, faults := cellconfig.Parse(record.Body)
	if len(faults) > 0 {
		t.opts.Logger.Log(eventUndecodableEntry, zap.Uint64("generation", uint64(record.Generation)), zap.Error(faults))
		return
	}
	if t.cellFile != nil {
		former := t.leaseTerms()
		t.formerTerms = append(t.formerTerms, formerTerms{terms: former, until: now.Add(former.GranterDuration())})
	}
	t.cellFile = &file
	t.opts.Logger.Log(eventCellFileInForce, zap.Uint64("generation", uint64(file.Generation)), zap.String("digest", record.Digest))
}

// leaseTerms returns the lease terms of the cell file in force.
func (t *task) leaseTerms() lease.Terms {
	if t.cellFile == nil {
		return lease.Terms{}
	}
	return lease.Terms{
		Duration:   t.cellFile.Cell.WorkerLease,
		StopMargin: t.cellFile.Cell.WorkerStopMargin,
		DriftPPM:   t.cellFile.Cell.MaxClockDriftPPM,
	}
}

// longestLease returns the longest lease duration that may still be running. A former leader may
// have granted leases under terms that were replaced since.
func (t *task) longestLease(now time.Time) time.Duration {
	longest := t.leaseTerms().Duration
	var running []formerTerms
	for _, former := range t.formerTerms {
		if now.Before(former.until) {
			running = append(running, former)
			longest = max(longest, former.terms.Duration)
		}
	}
	t.formerTerms = running
	return longest
}
