package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/state"
)

// observe follows what a command changed.
func (t *task) observe(now time.Time, index uint64, command state.Command, result state.Result, events []state.Event) {
	if (command.JoinMember != nil || command.LeaveMember != nil) && result.Refusal == state.RefusalNone {
		t.membersIndex = index
		t.feeds.membersChanged = true
		t.followMembers(now, command)
	}
	for _, event := range events {
		if event.ConfigChanged != nil {
			t.configChanged(event.ConfigChanged.Record, now)
			t.feeds.configChanged = true
		}
		if l := t.leading; l != nil {
			l.changed = true
			l.scheduler.Step(now, event)
			t.followLeases(now, event)
			t.feeds.note(l.follow(event))
		}
	}
}

// followMembers keeps the leader's sightings equal to the members.
func (t *task) followMembers(now time.Time, command state.Command) {
	if t.leading == nil {
		return
	}
	seen := t.leading.seen
	if joined := command.JoinMember; joined != nil && seen[joined.Member.Name].incarnation != joined.Member.Incarnation {
		seen[joined.Member.Name] = sighting{incarnation: joined.Member.Incarnation, at: now}
	}
	if left := command.LeaveMember; left != nil && seen[left.Name].incarnation == left.Incarnation {
		delete(seen, left.Name)
	}
}

func (t *task) followLeases(now time.Time, event state.Event) {
	l := t.leading
	switch {
	case event.ConfigChanged != nil:
		l.granter.SetTerms(t.terms())
	case event.WorkerAdded != nil:
		// A worker that never renews must expire like any other.
		l.granter.Renew(now, event.WorkerAdded.Worker.Name, event.WorkerAdded.Epoch)
	case event.WorkerRemoved != nil:
		removed := event.WorkerRemoved
		l.granter.Remove(removed.Worker, removed.Epoch)
		if l.expiring[removed.Worker] == removed.Epoch {
			delete(l.expiring, removed.Worker)
		}
	}
}

// formerTerms are lease terms that another file has replaced.
type formerTerms struct {
	terms lease.Terms
	until time.Time // by this clock, when leases under them have ended
}

// configChanged takes over a file that the state has put in force. A file was
// checked before, so a fault in it is a difference between versions of the
// program; the replica then keeps the former terms.
func (t *task) configChanged(record state.ConfigRecord, now time.Time) {
	if record.Body == nil {
		return // of an old generation, whose text was dropped
	}
	file, faults := cellconfig.Parse(record.Body)
	if len(faults) > 0 {
		t.opts.Logger.Log(eventBadEntry, zap.Uint64("generation", uint64(record.Generation)), zap.Error(faults))
		return
	}
	if t.file != nil {
		former := t.terms()
		t.retired = append(t.retired, formerTerms{terms: former, until: now.Add(former.GranterDuration())})
	}
	t.file = &file
	t.opts.Logger.Log(eventConfig, zap.Uint64("generation", uint64(file.Generation)), zap.String("digest", record.Digest))
}

// terms are the lease terms of the file in force.
func (t *task) terms() lease.Terms {
	if t.file == nil {
		return lease.Terms{}
	}
	return lease.Terms{
		Duration:   t.file.Cell.WorkerLease,
		StopMargin: t.file.Cell.WorkerStopMargin,
		DriftPPM:   t.file.Cell.MaxClockDriftPPM,
	}
}

// longestLease returns the longest lease duration that may still be running:
// a former leader may have granted under terms that were replaced since.
func (t *task) longestLease(now time.Time) time.Duration {
	longest := t.terms().Duration
	var running []formerTerms
	for _, former := range t.retired {
		if now.Before(former.until) {
			running = append(running, former)
			longest = max(longest, former.terms.Duration)
		}
	}
	t.retired = running
	return longest
}
