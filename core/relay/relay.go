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
	// detachTimeout is the time without a sync after which a worker is detached. It is then assumed to
	// use another entry process.
	detachTimeout = 30 * time.Second
	// maxWatchDuration is the maximum duration of a long poll.
	maxWatchDuration = 10 * time.Second
)

// Relay is the state of the package's protocol for all attached workers. It is not safe for
// concurrent use.
type Relay struct {
	workers map[cell.WorkerName]*worker

	batchInFlight bool
	batchStart    time.Time // when the first renewal of the next batch was queued
	sentRenewals  []Renewal
	effects       Effects
}

// worker is a worker attached to this entry process.
type worker struct {
	description    cell.Worker
	epoch          cell.Epoch
	lastSync       time.Time
	registering    bool
	queuedRenewal  *Sync // renewal queued for the next batch
	sentRenewal    *Sync // renewal in the batch in flight
	watch          *Sync // long poll that waits for a response, or nil
	watchEnd       time.Time
	hasAssignments bool // version and assignments are valid
	version        uint64
	assignments    []state.Assignment
}

// New returns a relay without workers.
func New() *Relay { return &Relay{workers: map[cell.WorkerName]*worker{}} }

// HandleSync handles a message from a worker agent.
func (r *Relay) HandleSync(now time.Time, sync Sync) {
	if w := r.workers[sync.Worker.Name]; w != nil && sync.Worker.Incarnation < w.description.Incarnation {
		r.rejectSuperseded(sync)
		return
	}
	w := r.attach(now, sync)
	switch {
	case sync.Sequence == 0:
		r.watch(now, w, sync)
	case sync.Epoch == 0:
		r.register(w, sync)
	case sync.Leaving:
		r.effects.Departures = append(r.effects.Departures, Departure{
			SyncID: sync.ID, Worker: sync.Worker.Name, Incarnation: sync.Worker.Incarnation,
			Epoch: sync.Epoch, Reports: sync.Reports,
		})
	default:
		r.setEpoch(w, sync.Epoch)
		r.queueRenewal(now, w, sync)
	}
}

// rejectSuperseded rejects a message of an incarnation that a later one has replaced. The message
// may be delayed, and forwarding it would renew, register or end the epoch of the later
// incarnation.
func (r *Relay) rejectSuperseded(sync Sync) {
	response := Response{SyncID: sync.ID, Status: StatusEpochEnded, Epoch: sync.Epoch}
	if sync.Epoch == 0 {
		response.Status, response.Refusal = StatusRefused, state.RefusalStaleIncarnation
	}
	r.effects.Responses = append(r.effects.Responses, response)
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
	w.hasAssignments = false
	w.version = 0
	w.assignments = nil
	r.effects.AttachedChanged = true
}

// watch starts a long poll. An earlier one of the same worker is answered.
func (r *Relay) watch(now time.Time, w *worker, sync Sync) {
	r.setEpoch(w, sync.Epoch)
	if w.watch != nil {
		r.respond(w, *w.watch, StatusOK)
	}
	w.watch = &sync
	w.watchEnd = now.Add(min(sync.MaxWait, maxWatchDuration))
	r.respondToWatch(now, w)
}

// respondToWatch responds to a long poll if the assignments have changed, the epoch has ended or
// the wait is over.
func (r *Relay) respondToWatch(now time.Time, w *worker) {
	if w.watch == nil {
		return
	}
	changed := w.hasAssignments && w.watch.Epoch == w.epoch && w.watch.Version != w.version
	superseded := w.watch.Epoch < w.epoch
	if changed || superseded || !now.Before(w.watchEnd) {
		r.respond(w, *w.watch, StatusOK)
		w.watch = nil
	}
}

func (r *Relay) register(w *worker, sync Sync) {
	r.replaceQueuedRenewal(w)
	w.queuedRenewal = &sync
	if !w.registering {
		w.registering = true
		r.effects.Registrations = append(r.effects.Registrations, sync.Worker)
	}
}

// replaceQueuedRenewal responds to a queued renewal that a newer one replaces. The worker agent no
// longer waits for it.
func (r *Relay) replaceQueuedRenewal(w *worker) {
	if w.queuedRenewal != nil {
		r.respond(w, *w.queuedRenewal, StatusUnavailable)
		w.queuedRenewal = nil
	}
}

// HandleRegistration handles the outcome of a registration. The first renewal of an admitted worker
// is sent with the next batch, under the new epoch. If a later incarnation has attached since, it
// is registered instead.
func (r *Relay) HandleRegistration(now time.Time, registration Registration) {
	w := r.workers[registration.Worker]
	if w == nil {
		return
	}
	w.registering = false
	sync := w.queuedRenewal
	if sync == nil {
		return
	}
	if registration.Incarnation != w.description.Incarnation {
		w.registering = true
		r.effects.Registrations = append(r.effects.Registrations, w.description)
		return
	}
	w.queuedRenewal = nil
	switch {
	case registration.Failed:
		r.respond(w, *sync, StatusUnavailable)
	case registration.Refusal != state.RefusalNone:
		response := Response{SyncID: sync.ID, Status: StatusRefused, Refusal: registration.Refusal}
		r.effects.Responses = append(r.effects.Responses, response)
	default:
		r.setEpoch(w, registration.Epoch)
		sync.Epoch = registration.Epoch
		r.queueRenewal(now, w, *sync)
	}
}

func (r *Relay) queueRenewal(now time.Time, w *worker, sync Sync) {
	r.replaceQueuedRenewal(w)
	w.queuedRenewal = &sync
	if r.batchStart.IsZero() {
		r.batchStart = now
	}
	r.sendBatchIfDue(now)
}

// sendBatchIfDue sends the batch if it is due.
func (r *Relay) sendBatchIfDue(now time.Time) {
	if !r.batchInFlight && !r.batchStart.IsZero() && !now.Before(r.batchStart.Add(batchDelay)) {
		r.sendBatch()
	}
}

// HandleGrants handles the leader's response to the batch in flight.
func (r *Relay) HandleGrants(now time.Time, grants []Grant) {
	for _, grant := range grants {
		w := r.workers[grant.Worker]
		if w == nil || w.sentRenewal == nil || w.sentRenewal.Sequence != grant.Sequence {
			continue
		}
		sync := *w.sentRenewal
		w.sentRenewal = nil
		if !grant.Granted {
			r.respond(w, sync, StatusEpochEnded)
			continue
		}
		response := r.newResponse(w, sync, StatusOK)
		response.Sequence = grant.Sequence
		response.Terms = grant.Terms
		response.SyncInterval = grant.SyncInterval
		r.effects.Responses = append(r.effects.Responses, response)
	}
	r.endBatch(now)
}

// HandleRenewalFailure handles the failure of the batch in flight.
func (r *Relay) HandleRenewalFailure(now time.Time) { r.endBatch(now) }

// endBatch responds with StatusUnavailable to the renewals that the leader did not respond to, and
// sends the next batch if it is due.
func (r *Relay) endBatch(now time.Time) {
	for _, renewal := range r.sentRenewals {
		if w := r.workers[renewal.Worker]; w != nil && w.sentRenewal != nil {
			r.respond(w, *w.sentRenewal, StatusUnavailable)
			w.sentRenewal = nil
		}
	}
	r.sentRenewals = nil
	r.batchInFlight = false
	r.sendBatchIfDue(now)
}

// HandleDeparture handles the outcome of a departure: ok is true if the worker's epoch has ended,
// and false if that could not be committed.
func (r *Relay) HandleDeparture(departure Departure, ok bool) {
	response := Response{SyncID: departure.SyncID, Status: StatusUnavailable}
	if ok {
		response.Status = StatusEpochEnded
		response.Epoch = departure.Epoch
		r.detach(departure)
	}
	r.effects.Responses = append(r.effects.Responses, response)
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

// HandleAssignments handles the complete assignments of a worker from the feed,
// the leader's answer to a long poll of this entry process.
func (r *Relay) HandleAssignments(now time.Time, view state.WorkerView) {
	w := r.workers[view.Name]
	if w == nil || view.Epoch < w.epoch {
		return
	}
	if view.Epoch == w.epoch && w.hasAssignments && view.Version <= w.version {
		return
	}
	r.setEpoch(w, view.Epoch)
	w.hasAssignments = true
	w.version = view.Version
	w.assignments = view.Assignments
	r.respondToWatch(now, w)
}

// Tick advances the time: it sends the batch and ends the long polls that are due, and removes
// workers that no longer sync with this entry process.
func (r *Relay) Tick(now time.Time) {
	r.sendBatchIfDue(now)
	for _, name := range r.sortedWorkerNames() {
		w := r.workers[name]
		r.respondToWatch(now, w)
		if w.watch == nil && w.queuedRenewal == nil && w.sentRenewal == nil && now.Sub(w.lastSync) > detachTimeout {
			delete(r.workers, name)
			r.effects.AttachedChanged = true
		}
	}
}

func (r *Relay) sendBatch() {
	r.batchStart = time.Time{}
	for _, name := range r.sortedWorkerNames() {
		w := r.workers[name]
		if w.queuedRenewal == nil || w.registering {
			continue
		}
		r.sentRenewals = append(r.sentRenewals, Renewal{
			Worker: name, Incarnation: w.description.Incarnation, Epoch: w.queuedRenewal.Epoch,
			Sequence: w.queuedRenewal.Sequence, Reports: w.queuedRenewal.Reports,
		})
		w.sentRenewal = w.queuedRenewal
		w.queuedRenewal = nil
	}
	if len(r.sentRenewals) == 0 {
		return
	}
	r.batchInFlight = true
	r.effects.Renewals = append([]Renewal(nil), r.sentRenewals...)
}

func (r *Relay) respond(w *worker, sync Sync, status Status) {
	r.effects.Responses = append(r.effects.Responses, r.newResponse(w, sync, status))
}

// newResponse returns a response, with the assignments if the worker has another version of them.
func (r *Relay) newResponse(w *worker, sync Sync, status Status) Response {
	response := Response{SyncID: sync.ID, Status: status, Epoch: sync.Epoch}
	if status == StatusOK && w.hasAssignments && sync.Epoch == w.epoch && sync.Version != w.version {
		response.Changed = true
		response.Version = w.version
		response.Assignments = w.assignments
	}
	return response
}

// Attached returns the attached workers that have an epoch, sorted by name.
func (r *Relay) Attached() []AttachedWorker {
	var attached []AttachedWorker
	for _, name := range r.sortedWorkerNames() {
		if w := r.workers[name]; w.epoch != 0 {
			attached = append(attached, AttachedWorker{Worker: name, Epoch: w.epoch, Version: w.version})
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
	if !r.batchInFlight && !r.batchStart.IsZero() {
		earliest(r.batchStart.Add(batchDelay))
	}
	for _, w := range r.workers {
		if w.watch != nil {
			earliest(w.watchEnd)
		}
	}
	return deadline
}

func (r *Relay) sortedWorkerNames() []cell.WorkerName {
	names := make([]cell.WorkerName, 0, len(r.workers))
	for name := range r.workers {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
