// Package workeragent is a stand-in for the platform's worker agent. It speaks
// the protocol of core/agent with the entry processes and runs simple tasks
// inside its own process. It is for tests and demonstrations only.
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

// Events of the stand-in.
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

// endedQueue bounds the ended tasks that wait for the agent's task. A task
// that finds it full waits.
const endedQueue = 64

// leaveTimeout bounds a planned stop of the worker.
const leaveTimeout = 10 * time.Second

// Hooks let a benchmark look at a worker. Nil functions are left out.
type Hooks struct {
	// Dial opens connections to entry processes, for counting bytes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Answered is called by the worker's task for each answer of the cell.
	Answered func(agent.Response)
}

// Worker is the stand-in. Its Run is the task that owns the agent's state.
type Worker struct {
	settings Settings
	hooks    Hooks
	logger   *eventlog.Logger
	started  time.Time
	agent    *agent.Agent
	runner   *runner

	ended    chan taskEnd
	answers  chan agent.Response
	renewals chan agent.Sync
	watches  chan agent.Sync
}

// New returns a worker that has not started.
func New(s Settings, hooks Hooks, logger *eventlog.Logger) *Worker {
	w := &Worker{
		settings: s,
		hooks:    hooks,
		logger:   logger,
		started:  time.Now(),
		ended:    make(chan taskEnd, endedQueue),
		answers:  make(chan agent.Response, 1),
		renewals: make(chan agent.Sync, 1),
		watches:  make(chan agent.Sync, 1),
	}
	w.runner = newRunner(w.ended)
	w.agent = agent.New(w.reading())
	return w
}

// reading reads both clocks (core/lease.ClockReading).
func (w *Worker) reading() lease.ClockReading {
	now := time.Now()
	return lease.ClockReading{Monotonic: now.Sub(w.started), Wall: now.Round(0)}
}

// Run runs the worker until ctx ends, then leaves as planned. A second end,
// of kill, stops at once.
func (w *Worker) Run(ctx, kill context.Context) error {
	listener, err := net.Listen("tcp", w.settings.ListenDebug)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(kill)
	defer stop()
	server := &http.Server{Handler: w.runner.debugHandler(), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() {
		// Serve returns when the server is closed at the end of Run.
		_ = server.Serve(listener)
	}()
	go w.runner.run(work)
	go w.newSender("renew").run(work, w.renewals, w.answers)
	go w.newSender("watch").run(work, w.watches, w.answers)
	w.logger.Log(eventStarted, zap.String("worker", w.settings.Name), zap.Int("pid", os.Getpid()))
	w.loop(ctx, work)
	return nil
}

func (w *Worker) newSender(kind string) *sender {
	return newSender(w.settings, cell.Incarnation(w.started.UnixMilli()), kind, w.hooks.Dial, w.logger)
}

// loop owns the agent: it feeds it messages and carries out its effects.
func (w *Worker) loop(ctx, work context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stopRequested := ctx.Done()
	var giveUp <-chan time.Time
	watching := false
	for {
		select {
		case <-work.Done():
			return
		case <-giveUp:
			return
		case <-stopRequested:
			stopRequested = nil
			giveUp = time.After(leaveTimeout)
			w.agent.Leave(w.reading())
		case end := <-w.ended:
			w.logger.Log(eventTaskEnd, zap.Uint64("allocation", uint64(end.allocation)),
				zap.String("outcome", string(end.outcome)))
			w.agent.TaskEnded(end.allocation, end.outcome, end.detail)
		case answer := <-w.answers:
			watching = watching && answer.Sequence != 0
			w.synced(answer)
		case <-timer.C:
		}
		effects := w.agent.Effects(w.reading())
		w.carryOut(work, effects)
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

func (w *Worker) synced(answer agent.Response) {
	if w.hooks.Answered != nil {
		w.hooks.Answered(answer)
	}
	registered, refused := w.agent.Registered(), w.agent.Refused()
	w.agent.HandleResponse(w.reading(), answer)
	if !registered && w.agent.Registered() {
		w.logger.Log(eventRegistered, zap.Uint64("epoch", uint64(answer.Epoch)))
	}
	if !refused && w.agent.Refused() {
		w.logger.Log(eventRefused)
	}
}

func (w *Worker) carryOut(work context.Context, effects agent.Effects) {
	w.runner.setLease(work, effects.Lease)
	for _, stop := range effects.Stops {
		w.logger.Log(eventTaskStop, zap.Uint64("allocation", uint64(stop.Allocation)), zap.String("kind", string(stop.Kind)))
		w.runner.stop(work, stop)
	}
	for _, task := range effects.Starts {
		w.logger.Log(eventTaskStart, zap.Uint64("allocation", uint64(task.Allocation)), zap.Uint64("job", uint64(task.Job)))
		w.runner.start(work, task)
	}
	if effects.Sync == nil {
		return
	}
	select {
	case w.renewals <- *effects.Sync:
	default:
		// The former renewal is still waiting. The next interval sends the
		// same reports again.
	}
}
