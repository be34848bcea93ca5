package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/relay"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

const (
	// syncQueueSize is the number of syncs that may wait for the relay task. If the
	// queue is full, further ones are refused as overloaded.
	syncQueueSize = 1024
	// renewTimeout limits a renewal call including its retries. It is shorter than
	// the sync interval, so that no batch is in flight when a worker renews next. It
	// is longer than two attempts, so that one can reach a new leader after the
	// former one has failed.
	renewTimeout = 1500 * time.Millisecond
	// registrationTimeout limits a call that registers or releases a worker.
	registrationTimeout = 3 * time.Second
)

// relayTask is the task that owns a relay.Relay and makes its calls to the control group.
type relayTask struct {
	client  *controlclient.Client
	self    state.Member
	logger  *eventlog.Logger
	metrics *metrics.Set

	syncs          chan syncMessage
	assigned       chan []state.WorkerView
	registrations  chan relay.Registration
	renewOutcomes  chan renewOutcome
	departOutcomes chan departOutcome
	attached       chan []relay.AttachedWorker // to the feed; latest list; capacity 1

	relay        *relay.Relay
	nextID       relay.SyncID
	pendingSyncs map[relay.SyncID]chan<- relay.Response
}

// syncMessage is a worker's sync and the buffered channel for its response.
type syncMessage struct {
	sync  relay.Sync
	reply chan<- relay.Response
}

type renewOutcome struct {
	grants []relay.Grant
	err    error
}

type departOutcome struct {
	departure relay.Departure
	ok        bool
}

func newRelayTask(client *controlclient.Client, self state.Member, logger *eventlog.Logger, set *metrics.Set) *relayTask {
	return &relayTask{
		client: client, self: self, logger: logger, metrics: set,
		syncs:          make(chan syncMessage, syncQueueSize),
		assigned:       make(chan []state.WorkerView),
		registrations:  make(chan relay.Registration),
		renewOutcomes:  make(chan renewOutcome),
		departOutcomes: make(chan departOutcome),
		attached:       make(chan []relay.AttachedWorker, 1),
		relay:          relay.New(),
		pendingSyncs:   map[relay.SyncID]chan<- relay.Response{},
	}
}

func (t *relayTask) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-t.syncs:
			t.nextID++
			message.sync.ID = t.nextID
			t.pendingSyncs[t.nextID] = message.reply
			t.relay.HandleSync(time.Now(), message.sync)
		case views := <-t.assigned:
			for _, view := range views {
				t.relay.HandleAssignments(time.Now(), view)
			}
		case registration := <-t.registrations:
			t.relay.HandleRegistration(time.Now(), registration)
		case outcome := <-t.renewOutcomes:
			t.handleRenewed(outcome)
		case outcome := <-t.departOutcomes:
			t.relay.HandleDeparture(outcome.departure, outcome.ok)
		case <-timer.C:
			t.relay.Tick(time.Now())
		}
		t.applyEffects(ctx, timer)
	}
}

func (t *relayTask) handleRenewed(outcome renewOutcome) {
	if outcome.err != nil {
		t.logger.Log(eventRenewFailed, zap.Error(outcome.err))
		t.relay.HandleRenewalFailure(time.Now())
		return
	}
	t.relay.HandleGrants(time.Now(), outcome.grants)
}

func (t *relayTask) applyEffects(ctx context.Context, timer *time.Timer) {
	effects := t.relay.Effects()
	for _, response := range effects.Responses {
		t.pendingSyncs[response.SyncID] <- response
		delete(t.pendingSyncs, response.SyncID)
	}
	for _, worker := range effects.Registrations {
		go t.register(ctx, worker)
	}
	for _, departure := range effects.Departures {
		go t.depart(ctx, departure)
	}
	if len(effects.Renewals) > 0 {
		go t.renew(ctx, effects.Renewals)
	}
	if effects.AttachedChanged {
		t.publishAttached()
	}
	if !effects.Deadline.IsZero() {
		timer.Reset(max(time.Until(effects.Deadline), 0))
	}
}

// publishAttached sends the latest list to the feed and replaces a list that the feed
// has not received yet.
func (t *relayTask) publishAttached() {
	select {
	case <-t.attached:
	default:
	}
	t.attached <- t.relay.Attached()
}

// register, renew and depart run in goroutines of their own and make one call to the
// control group. They send its outcome to the task as a message.

func (t *relayTask) register(ctx context.Context, worker cell.Worker) {
	call, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	result, err := t.client.Propose(call, state.Command{RegisterWorker: &state.RegisterWorker{Worker: worker}})
	registration := relay.Registration{Worker: worker.Name, Incarnation: worker.Incarnation, Refusal: result.Refusal}
	switch {
	case err != nil || isTemporary(result.Refusal):
		registration.Failed = true
	case result.Refusal != state.RefusalNone:
		t.logger.Log(eventWorkerRefused, zap.String("worker", string(worker.Name)),
			zap.String("refusal", string(result.Refusal)), zap.String("detail", result.Detail))
	default:
		registration.Epoch = result.Worker.Epoch
	}
	select {
	case t.registrations <- registration:
	case <-ctx.Done():
	}
}

// isTemporary reports whether a refused registration may succeed later without a change
// of the worker or the cell file.
func isTemporary(refusal state.Refusal) bool {
	return refusal == state.RefusalNoConfig || refusal == state.RefusalStillLeased
}

func (t *relayTask) renew(ctx context.Context, renewals []relay.Renewal) {
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := t.client.Renew(call, toRenewRequest(t.self, renewals))
	outcome := renewOutcome{err: err}
	if err == nil {
		t.metrics.Observe(metricRenewDelay, time.Since(sentAt))
		outcome.grants = toGrants(response)
	}
	select {
	case t.renewOutcomes <- outcome:
	case <-ctx.Done():
	}
}

// depart commits the last reports of a leaving worker and the end of its epoch.
func (t *relayTask) depart(ctx context.Context, departure relay.Departure) {
	call, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	result, err := t.client.Propose(call, state.Command{ReleaseWorker: &state.ReleaseWorker{
		Worker: departure.Worker, Epoch: departure.Epoch, Reports: departure.Reports,
	}})
	// A stale epoch was ended by an earlier attempt whose answer was lost.
	ok := err == nil && (result.Refusal == state.RefusalNone || result.Refusal == state.RefusalStaleEpoch)
	select {
	case t.departOutcomes <- departOutcome{departure: departure, ok: ok}:
	case <-ctx.Done():
	}
}
