package relay

import (
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

const (
	// batchDelay is the time during which renewals are collected into one call. It is short
	// compared with the time within which urgent work must start, because task reports wait for it.
	batchDelay = 50 * time.Millisecond
	// detachAfter is the time without a sync after which a worker is considered attached to another
	// entry process.
	detachAfter = 30 * time.Second
	// maxWatch is the maximum duration of a long poll.
	maxWatch = 10 * time.Second
)

// Relay is the state of the package's protocol for all attached workers. It is not safe for
// concurrent use.
type Relay struct {
	workers map[cell.WorkerName]*worker

	batchSent bool // a batch is in flight
	batchFrom time.Time
	sent      []Renewal
	effects   Effects
}

// worker is a worker attached to this entry process.
type worker struct {
	description cell.Worker
	epoch       cell.Epoch
	lastSync    time.Time
	registering bool
	renewal     *Sync // renewal queued for the next batch
	waiting     *Sync // renewal in the batch in flight
	watch       *Sync
	watchEnd    time.Time
	known       bool // version and assignments are valid
	version     uint64
	assignments []state.Assignment
}

// New returns a relay without workers.
func New() *Relay { return &Relay{workers: map[cell.WorkerName]*worker{}} }

// Sync handles a message from a worker agent.
func (r *Relay) Sync(now time.Time, sync Sync) {
	if w := r.workers[sync.Worker.Name]; w != nil && sync.Worker.Incarnation < w.description.Incarnation {
		r.refuseFormer(sync)
		return
	}
	w := r.attach(now, sync)
	switch {
	case sync.Sequence == 0:
		r.watch(now, w, sync)
	case sync.Epoch == 0:
		r.register(w, sync)
	case sync.Leaving:
		r.effects.Depart = append(r.effects.Depart, Departure{
			Waiter: sync.Waiter, Worker: sync.Worker.Name, Incarnation: sync.Worker.Incarnation,
			Epoch: sync.Epoch, Reports: sync.Reports,
		})
	default:
		r.setEpoch(w, sync.Epoch)
		r.enqueue(now, w, sync)
	}
}

// refuseFormer rejects a message of an incarnation that a later one has replaced. The message may
// be delayed, and forwarding it would renew, register or end the epoch of the later incarnation.
func (r *Relay) refuseFormer(sync Sync) {
	answer := Answer{Waiter: sync.Waiter, Status: StatusEpochEnded, Epoch: sync.Epoch}
	if sync.Epoch == 0 {
		answer.Status, answer.Refusal = StatusRefused, state.RefusalStaleIncarnation
	}
	r.effects.Answers = append(r.effects.Answers, answer)
}

func (r *Relay) attach(now time.Time, sync Sync) *worker {
	w := r.workers[sync.Worker.Name]
	if w == nil {
		w = &worker{}
		r.workers[sync.Worker.Name] = w
		r.effects.AttachedChanged = true
	}
	w.description = sync.Worker
	w.lastSync = now
	return w
}

// setEpoch moves a worker to a later epoch and discards the assignments of the earlier one.
func (r *Relay) setEpoch(w *worker, epoch cell.Epoch) {
	if epoch <= w.epoch {
		return
	}
	w.epoch = epoch
	w.known = false
	w.version = 0
	w.assignments = nil
	r.effects.AttachedChanged = true
}

func (r *Relay) watch(now time.Time, w *worker, sync Sync) {
	r.setEpoch(w, sync.Epoch)
	if w.watch != nil {
		r.answer(w, *w.watch, StatusOK)
	}
	w.watch = &sync
	w.watchEnd = now.Add(min(sync.MaxWait, maxWatch))
	r.answerWatch(now, w)
}

// answerWatch responds to a long poll if the assignments have changed, the epoch has ended or the
// wait is over.
func (r *Relay) answerWatch(now time.Time, w *worker) {
	if w.watch == nil {
		return
	}
	changed := w.known && w.watch.Epoch == w.epoch && w.watch.Version != w.version
	superseded := w.watch.Epoch < w.epoch
	if changed || superseded || !now.Before(w.watchEnd) {
		r.answer(w, *w.watch, StatusOK)
		w.watch = nil
	}
}

func (r *Relay) register(w *worker, sync Sync) {
	r.supersede(w)
	w.renewal = &sync
	if !w.registering {
		w.registering = true
		r.effects.Register = append(r.effects.Register, sync.Worker)
	}
}

// supersede responds to a queued renewal that a newer one replaces. The worker agent no longer
// waits for it.
func (r *Relay) supersede(w *worker) {
	if w.renewal != nil {
		r.answer(w, *w.renewal, StatusUnavailable)
		w.renewal = nil
	}
}

// Registered handles the outcome of a registration. The first renewal of an admitted worker is sent
// with the next batch, under the new epoch. If a later incarnation has attached since, it is
// registered instead.
func (r *Relay) Registered(now time.Time, registration Registration) {
	w := r.workers[registration.Worker]
	if w == nil {
		return
	}
	w.registering = false
	sync := w.renewal
	if sync == nil {
		return
	}
	if registration.Incarnation != w.description.Incarnation {
		w.registering = true
		r.effects.Register = append(r.effects.Register, w.description)
		return
	}
	w.renewal = nil
	switch {
	case registration.Failed:
		r.answer(w, *sync, StatusUnavailable)
	case registration.Refusal != state.RefusalNone:
		answer := Answer{Waiter: sync.Waiter, Status: StatusRefused, Refusal: registration.Refusal}
		r.effects.Answers = append(r.effects.Answers, answer)
	default:
		r.setEpoch(w, registration.Epoch)
		sync.Epoch = registration.Epoch
		r.enqueue(now, w, *sync)
	}
}

func (r *Relay) enqueue(now time.Time, w *worker, sync Sync) {
	r.supersede(w)
	w.renewal = &sync
	if r.batchFrom.IsZero() {
		r.batchFrom = now
	}
	r.flush(now)
}

// flush sends the batch if it is due.
func (r *Relay) flush(now time.Time) {
	if !r.batchSent && !r.batchFrom.IsZero() && !now.Before(r.batchFrom.Add(batchDelay)) {
		r.sendBatch()
	}
}

// Granted handles the leader's response to the batch in flight.
func (r *Relay) Granted(now time.Time, grants []Grant) {
	for _, grant := range grants {
		w := r.workers[grant.Worker]
		if w == nil || w.waiting == nil || w.waiting.Sequence != grant.Sequence {
			continue
		}
		sync := *w.waiting
		w.waiting = nil
		if !grant.Granted {
			r.answer(w, sync, StatusEpochEnded)
			continue
		}
		answer := r.answerOf(w, sync, StatusOK)
		answer.Sequence = grant.Sequence
		answer.Terms = grant.Terms
		answer.SyncInterval = grant.SyncInterval
		r.effects.Answers = append(r.effects.Answers, answer)
	}
	r.endBatch(now)
}

// RenewFailed handles the failure of the batch in flight.
func (r *Relay) RenewFailed(now time.Time) { r.endBatch(now) }

// endBatch responds with StatusUnavailable to the renewals that the leader did not answer, and
// sends the next batch if it is due.
func (r *Relay) endBatch(now time.Time) {
	for _, renewal := range r.sent {
		if w := r.workers[renewal.Worker]; w != nil && w.waiting != nil {
			r.answer(w, *w.waiting, StatusUnavailable)
			w.waiting = nil
		}
	}
	r.sent = nil
	r.batchSent = false
	r.flush(now)
}

// Departed handles the outcome of a departure: ok is true if the worker's epoch has ended, and
// false if that could not be committed.
func (r *Relay) Departed(departure Departure, ok bool) {
	answer := Answer{Waiter: departure.Waiter, Status: StatusUnavailable}
	if ok {
		answer.Status = StatusEpochEnded
		answer.Epoch = departure.Epoch
		r.detach(departure)
	}
	r.effects.Answers = append(r.effects.Answers, answer)
}

// detach removes a worker that has left, unless a later incarnation of it has attached since.
func (r *Relay) detach(departure Departure) {
	w := r.workers[departure.Worker]
	if w == nil || w.description.Incarnation != departure.Incarnation {
		return
	}
	delete(r.workers, departure.Worker)
	r.effects.AttachedChanged = true
}

// Assigned handles the complete assignments of a worker from the leader's feed.
func (r *Relay) Assigned(now time.Time, view state.WorkerView) {
	w := r.workers[view.Name]
	if w == nil || view.Epoch < w.epoch {
		return
	}
	if view.Epoch == w.epoch && w.known && view.Version <= w.version {
		return
	}
	r.setEpoch(w, view.Epoch)
	w.known = true
	w.version = view.Version
	w.assignments = view.Assignments
	r.answerWatch(now, w)
}

// Tick advances the time: it sends the batch and ends the long polls that are due, and removes
// workers that no longer sync with this entry process.
func (r *Relay) Tick(now time.Time) {
	r.flush(now)
	for _, name := range r.sortedNames() {
		w := r.workers[name]
		r.answerWatch(now, w)
		if w.watch == nil && w.renewal == nil && w.waiting == nil && now.Sub(w.lastSync) > detachAfter {
			delete(r.workers, name)
			r.effects.AttachedChanged = true
		}
	}
}

func (r *Relay) sendBatch() {
	r.batchFrom = time.Time{}
	for _, name := range r.sortedNames() {
		w := r.workers[name]
		if w.renewal == nil || w.registering {
			continue
		}
		r.sent = append(r.sent, Renewal{
			Worker: name, Incarnation: w.description.Incarnation, Epoch: w.renewal.Epoch,
			Sequence: w.renewal.Sequence, Reports: w.renewal.Reports,
		})
		w.waiting = w.renewal
		w.renewal = nil
	}
	if len(r.sent) == 0 {
		return
	}
	r.batchSent = true
	r.effects.Renewals = append([]Renewal(nil), r.sent...)
}

func (r *Relay) answer(w *worker, sync Sync, status Status) {
	r.effects.Answers = append(r.effects.Answers, r.answerOf(w, sync, status))
}

// answerOf returns a response, with the assignments if the worker has another version of them.
func (r *Relay) answerOf(w *worker, sync Sync, status Status) Answer {
	answer := Answer{Waiter: sync.Waiter, Status: status, Epoch: sync.Epoch}
	if status == StatusOK && w.known && sync.Epoch == w.epoch && sync.Version != w.version {
		answer.Changed = true
		answer.Version = w.version
		answer.Assignments = w.assignments
	}
	return answer
}

// Attached returns the attached workers that have an epoch, sorted by name.
func (r *Relay) Attached() []Attached {
	var attached []Attached
	for _, name := range r.sortedNames() {
		if w := r.workers[name]; w.epoch != 0 {
			attached = append(attached, Attached{Worker: name, Epoch: w.epoch, Version: w.version})
		}
	}
	return attached
}

// Effects returns the pending effects and clears them.
func (r *Relay) Effects() Effects {
	effects := r.effects
	r.effects = Effects{}
	effects.Deadline = r.deadline()
	return effects
}

func (r *Relay) deadline() time.Time {
	var deadline time.Time
	earliest := func(t time.Time) {
		if deadline.IsZero() || t.Before(deadline) {
			deadline = t
		}
	}
	if !r.batchSent && !r.batchFrom.IsZero() {
		earliest(r.batchFrom.Add(batchDelay))
	}
	for _, w := range r.workers {
		if w.watch != nil {
			earliest(w.watchEnd)
		}
	}
	return deadline
}

func (r *Relay) sortedNames() []cell.WorkerName {
	names := make([]cell.WorkerName, 0, len(r.workers))
	for name := range r.workers {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
