package platformproc

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/dispatcher"
	"github.com/godwitlink/godwitlink/internal/draining"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/startup"
	"github.com/godwitlink/godwitlink/internal/workapi"
	"github.com/godwitlink/godwitlink/platform"
)

// Timeouts of a planned stop of an entry process.
const (
	// notReadyDelay is how long the load balancer may send new connections after the process
	// reports that it is not ready. It covers two readiness checks, which take place once per
	// second.
	notReadyDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
)

// RunEntry runs an entry process. The end of stop requests a planned stop; the end of kill stops
// the process immediately.
func RunEntry(stop, kill context.Context, s *EntrySettings, out io.Writer) error {
	b, err := newBaseProcess(out, s.LogLevel, s.Name, s.MemoryMB, s.OpenFiles)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.runEntry(stop, kill, s); err != nil && !startup.IsStopped(err) {
		b.logger.Log(eventEndedByError, zap.Error(err))
		return err
	}
	return nil
}

func (b *baseProcess) runEntry(stop, kill context.Context, s *EntrySettings) error {
	client := b.newHTTPClient(maxIdleConnsToLeader)
	control := controlclient.New(internalAddresses(s.Seeds, s.ListenInternal), "http", client, b.metrics)
	jobs := workapi.NewJobService(workapi.JobServiceOptions{Control: control, Logger: b.logger, Metrics: b.metrics, SelfAddress: s.ListenInternal, Document: b.setLimits})
	e := &entry{baseProcess: b, jobs: jobs}
	startCtx, endStart := context.WithCancel(stop)
	defer endStart()
	defer context.AfterFunc(kill, endStart)()
	if err := e.listen(startCtx, s); err != nil {
		return err
	}
	b.logger.Log(eventStarted)
	runCtx, cancel := context.WithCancel(kill)
	defer cancel()
	b.tasks.Go(func() { control.Run(runCtx) })
	watcher := &seedWatcher{
		file: s.File, hangups: b.hangups, parse: parseEntrySeeds, logger: b.logger, metrics: b.metrics, seeds: s.Seeds,
		apply: func(_ context.Context, seeds []string) error {
			control.SetConfigured(internalAddresses(seeds, s.ListenInternal))
			return nil
		},
	}
	b.tasks.Go(func() { watcher.run(runCtx) })
	b.tasks.Go(func() { jobs.Run(runCtx) })
	select {
	case err := <-b.failures:
		return err
	case <-kill.Done():
		return nil
	case <-stop.Done():
	}
	return e.stop(kill, s.StopGrace)
}

type entry struct {
	*baseProcess
	jobs    *workapi.JobService
	clients *draining.Server
	drain   draining.Flag
}

func (e *entry) listen(ctx context.Context, s *EntrySettings) error {
	if _, err := e.serveMetrics(ctx, s.ListenMetrics); err != nil {
		return err
	}
	internal := http.NewServeMux()
	prefix, relay := dispatcher.NewRelayHandler(platform.NewClient(s.Adviser, e.sockets, e.logger))
	internal.Handle(prefix, relay)
	err := e.startServing(ctx, s.ListenInternal, func() error { return e.serve(openfiles.UseProcesses, s.ListenInternal, internal) })
	if err != nil {
		return err
	}
	clients := platform.NewClientHandler(e.jobs, e.logger)
	err = e.startServing(ctx, s.ListenClients, func() (err error) {
		e.clients, err = e.serveDraining(openfiles.UseCallers, connmemory.PeerClients, s.ListenClients, clients, &e.drain)
		return err
	})
	if err != nil {
		return err
	}
	return e.startServing(ctx, s.ListenReady, func() error { return e.serve(openfiles.UseProbes, s.ListenReady, http.HandlerFunc(e.ready)) })
}

func (e *entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.drain.Draining() || !e.jobs.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop reports the process as not ready, finishes the requests that have arrived, and returns
// before the grace period ends.
func (e *entry) stop(kill context.Context, grace time.Duration) error {
	started := time.Now()
	e.drain.Begin()
	e.logger.Log(eventStopping)
	if pause.For(kill, min(notReadyDelay, grace/2)) != nil {
		return nil
	}
	stopCtx, cancel := context.WithTimeout(kill, grace-time.Since(started)-exitMargin)
	defer cancel()
	aborted, err := e.clients.Stop(stopCtx)
	if err != nil {
		e.logger.Log(eventConnectionsNotRefused, zap.Error(err))
	}
	if aborted > 0 {
		e.logger.Log(eventConnectionsAborted, zap.Int("connections", aborted), zap.Duration("after", time.Since(started)))
	}
	return nil
}

// setLimits puts the limits of a configuration in force.
func (b *baseProcess) setLimits(document []byte) {
	limits, err := platform.DecodeLimits(document)
	if err != nil {
		b.logger.Log(eventLimitsUnreadable, zap.Error(err))
		return
	}
	b.memory.SetLimits(limits)
}
