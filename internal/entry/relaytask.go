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
	// syncQueue bounds the syncs that wait for the relay task. A sync that
	// finds it full is refused as overloaded.
	syncQueue = 1024
	// renewTimeout bounds a renewal call with its repetitions. It is shorter
	// than the sync interval, so that a worker's next renewal finds the batch
	// free, and longer than two attempts, so that it outlasts a dead leader.
	renewTimeout = 1500 * time.Millisecond
	// registerTimeout bounds a registration and a departure.
	registerTimeout = 3 * time.Second
)

// relayTask is the task that owns core/relay.
type relayTask struct {
	client  *controlclient.Client
	self    state.Member
	logger  *eventlog.Logger
	metrics *metrics.Set

	syncs         chan syncMessage
	assigned      chan []state.WorkerView
	registrations chan relay.Registration
	renewed       chan renewOutcome
	departed      chan departOutcome
	attached      chan []relay.AttachedWorker // to the feed; newest list, capacity 1

	relay   *relay.Relay
	nextID  relay.SyncID
	waiters map[relay.SyncID]chan<- relay.Response
}

// syncMessage is a worker's sync with the channel for its answer, which has
// room for it.
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
		syncs:         make(chan syncMessage, syncQueue),
		assigned:      make(chan []state.WorkerView),
		registrations: make(chan relay.Registration),
		renewed:       make(chan renewOutcome),
		departed:      make(chan departOutcome),
		attached:      make(chan []relay.AttachedWorker, 1),
		relay:         relay.New(),
		waiters:       map[relay.SyncID]chan<- relay.Response{},
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
			t.waiters[t.nextID] = message.reply
			t.relay.HandleSync(time.Now(), message.sync)
		case views := <-t.assigned:
			for _, view := range views {
				t.relay.HandleAssignments(time.Now(), view)
			}
		case registration := <-t.registrations:
			t.relay.HandleRegistration(time.Now(), registration)
		case outcome := <-t.renewed:
			t.handleRenewed(outcome)
		case outcome := <-t.departed:
			t.relay.HandleDeparture(outcome.departure, outcome.ok)
		case <-timer.C:
			t.relay.Tick(time.Now())
		}
		t.carryOut(ctx, timer)
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

func (t *relayTask) carryOut(ctx context.Context, timer *time.Timer) {
	effects := t.relay.Effects()
	for _, answer := range effects.Responses {
		t.waiters[answer.SyncID] <- answer
		delete(t.waiters, answer.SyncID)
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

// publishAttached replaces the list that the feed has not taken yet.
func (t *relayTask) publishAttached() {
	select {
	case <-t.attached:
	default:
	}
	t.attached <- t.relay.Attached()
}

// register, renew and depart are short-lived calls to the control group; their
// outcome comes back to the task as a message.

func (t *relayTask) register(ctx context.Context, worker cell.Worker) {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	result, err := t.client.Propose(call, state.Command{RegisterWorker: &state.RegisterWorker{Worker: worker}})
	registration := relay.Registration{Worker: worker.Name, Incarnation: worker.Incarnation, Refusal: result.Refusal}
	switch {
	case err != nil || temporary(result.Refusal):
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

// temporary reports whether a registration may succeed later without a change
// of the worker or the cell file.
func temporary(refusal state.Refusal) bool {
	return refusal == state.RefusalNoConfig || refusal == state.RefusalStillLeased
}

func (t *relayTask) renew(ctx context.Context, renewals []relay.Renewal) {
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := t.client.Renew(call, renewRequest(t.self, renewals))
	outcome := renewOutcome{err: err}
	if err == nil {
		t.metrics.Observe(metricRenewDelay, time.Since(sentAt))
		outcome.grants = grantsOf(response)
	}
	select {
	case t.renewed <- outcome:
	case <-ctx.Done():
	}
}

// depart commits a leaving worker's last reports and the end of its epoch.
func (t *relayTask) depart(ctx context.Context, departure relay.Departure) {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	result, err := t.client.Propose(call, state.Command{ReleaseWorker: &state.ReleaseWorker{
		Worker: departure.Worker, Epoch: departure.Epoch, Reports: departure.Reports,
	}})
	// A stale epoch has ended already, by an earlier try whose answer was lost.
	ok := err == nil && (result.Refusal == state.RefusalNone || result.Refusal == state.RefusalStaleEpoch)
	select {
	case t.departed <- departOutcome{departure: departure, ok: ok}:
	case <-ctx.Done():
	}
}
