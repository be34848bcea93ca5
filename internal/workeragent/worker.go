// Package workeragent simulates the platform's worker agent for tests and demonstrations. It uses
// the protocol of core/agent with the entry processes and runs simple tasks inside its own process.
package workeragent

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/eventlog"
)

// Log events of this package.
var (
	eventStarted    = eventlog.Declare(5100, zapcore.InfoLevel, "worker stand-in started")
	eventRegistered = eventlog.Declare(5101, zapcore.InfoLevel, "worker registered")
	eventTaskStart  = eventlog.Declare(5102, zapcore.InfoLevel, "task started")
	eventTaskStop   = eventlog.Declare(5103, zapcore.InfoLevel, "task told to stop")
	eventTaskEnd    = eventlog.Declare(5104, zapcore.InfoLevel, "task ended")
	eventSyncFailed = eventlog.Declare(5105, zapcore.WarnLevel, "sync with an entry process failed")
	eventRefused    = eventlog.Declare(5106, zapcore.WarnLevel, "worker not admitted")
	eventLeft       = eventlog.Declare(5107, zapcore.InfoLevel, "worker left")
)

// endedQueueSize is the capacity of the queue of ended tasks to the agent loop. The runner keeps
// further ends until the queue has room.
const endedQueueSize = 64

// leaveTimeout limits the graceful shutdown of the worker.
const leaveTimeout = 10 * time.Second

// Hooks let a benchmark observe a worker. Functions that are nil are not called.
type Hooks struct {
	// Dial opens connections to entry processes, for example to count bytes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnResponse is called by the agent loop for each response from the cell.
	OnResponse func(agent.Response)
}

// Worker is a simulated worker. Run owns the agent's state.
type Worker struct {
	settings Settings
	hooks    Hooks
	logger   *eventlog.Logger
	started  time.Time
	agent    *agent.Agent
	runner   *runner

	ended     chan taskEnd
	responses chan agent.Response
	renewals  chan agent.Sync
	watches   chan agent.Sync
}

// New returns a worker that is not running yet.
func New(s Settings, hooks Hooks, logger *eventlog.Logger) *Worker {
	w := &Worker{
		settings:  s,
		hooks:     hooks,
		logger:    logger,
		started:   time.Now(),
		ended:     make(chan taskEnd, endedQueueSize),
		responses: make(chan agent.Response, 1),
		renewals:  make(chan agent.Sync, 1),
		watches:   make(chan agent.Sync, 1),
	}
	w.runner = newRunner(w.ended)
	w.agent = agent.New(w.readClocks())
	return w
}

// readClocks reads the monotonic clock and the wall clock.
func (w *Worker) readClocks() lease.ClockReading { return w.clocksAt(time.Now()) }

func (w *Worker) clocksAt(now time.Time) lease.ClockReading {
	return lease.ClockReading{Monotonic: now.Sub(w.started), Wall: now.Round(0)}
}

// Run runs the worker until ctx ends and then leaves the cell gracefully. When kill ends, it
// returns at once.
func (w *Worker) Run(ctx, kill context.Context) error {
	listener, err := net.Listen("tcp", w.settings.ListenDebug)
	if err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(kill)
	defer stop()
	server := &http.Server{Handler: w.runner.debugHandler(), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() {
		// Serve returns when the server is closed at the end of Run.
		_ = server.Serve(listener)
	}()
	go w.runner.run(workCtx)
	go w.newSender("renew").run(workCtx, w.renewals, w.responses)
	go w.newSender("watch").run(workCtx, w.watches, w.responses)
	w.logger.Log(eventStarted, zap.String("worker", w.settings.Name), zap.Int("pid", os.Getpid()))
	w.runAgent(ctx, workCtx)
	return nil
}

func (w *Worker) newSender(kind string) *sender {
	return newSender(w.settings, cell.Incarnation(w.started.UnixMilli()), kind, w.hooks.Dial, w.logger)
}

// runAgent is the agent loop. It owns the agent, passes it messages and applies its effects.
func (w *Worker) runAgent(ctx, workCtx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stopRequested := ctx.Done()
	var leaveDeadline <-chan time.Time
	watching := false
	for {
		select {
		case <-workCtx.Done():
			return
		case <-leaveDeadline:
			return
		case <-stopRequested:
			stopRequested = nil
			leaveDeadline = time.After(leaveTimeout)
			w.agent.Leave(w.readClocks())
		case end := <-w.ended:
			w.logger.Log(eventTaskEnd, zap.Uint64("allocation", uint64(end.allocation)),
				zap.String("outcome", string(end.outcome)))
			w.agent.TaskEnded(end.allocation, end.outcome, end.detail)
		case response := <-w.responses:
			watching = watching && response.Sequence != 0
			w.handleResponse(response)
		case <-timer.C:
		}
		now := time.Now()
		effects := w.agent.Effects(w.clocksAt(now))
		w.applyEffects(workCtx, now, effects)
		if effects.Done {
			w.logger.Log(eventLeft)
			return
		}
		if !watching && w.agent.Registered() {
			w.watches <- w.agent.WatchSync()
			watching = true
		}
		timer.Reset(effects.Wake)
	}
}

func (w *Worker) handleResponse(response agent.Response) {
	if w.hooks.OnResponse != nil {
		w.hooks.OnResponse(response)
	}
	registered, refused := w.agent.Registered(), w.agent.Refused()
	w.agent.HandleResponse(w.readClocks(), response)
	if !registered && w.agent.Registered() {
		w.logger.Log(eventRegistered, zap.Uint64("epoch", uint64(response.Epoch)))
	}
	if !refused && w.agent.Refused() {
		w.logger.Log(eventRefused)
	}
}

// applyEffects carries out the effects that the agent returned at now.
func (w *Worker) applyEffects(ctx context.Context, now time.Time, effects agent.Effects) {
	w.runner.setLease(ctx, lease.DeadlineIn(now, effects.Lease))
	for _, stop := range effects.Stops {
		w.logger.Log(eventTaskStop, zap.Uint64("allocation", uint64(stop.Allocation)), zap.String("kind", string(stop.Kind)))
		w.runner.stop(ctx, stop)
	}
	for _, task := range effects.Starts {
		w.logger.Log(eventTaskStart, zap.Uint64("allocation", uint64(task.Allocation)), zap.Uint64("job", uint64(task.Job)))
		w.runner.start(ctx, task)
	}
	if effects.Sync == nil {
		return
	}
	select {
	case w.renewals <- *effects.Sync:
	default:
		// The previous renewal is still queued. The next renewal repeats the reports.
	}
}
