package platformproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/dispatcher"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/startup"
	"github.com/godwitlink/godwitlink/internal/storage"
	"github.com/godwitlink/godwitlink/internal/workapi"
	"github.com/godwitlink/godwitlink/platform"
)

// Timeouts and limits of a control replica.
const (
	electionTimeoutMin   = 450 * time.Millisecond
	electionTimeoutMax   = 900 * time.Millisecond
	heartbeatInterval    = 75 * time.Millisecond
	maxClockDriftPPM     = 20_000 // the platform specifies at most 2 percent for workers
	snapshotEveryEntries = 5_000
	segmentBytes         = 4 << 20
	// leasePercent is the share of the longest permitted lease that is requested, in percent. A
	// shorter lease lets the tasks of an unreachable worker be placed elsewhere sooner, because they
	// must wait until its lease has expired.
	leasePercent = 75
	// holdWait is the maximum time that a worker may wait for a run to end before it answers a hold.
	holdWait = time.Second
	// transferTimeout limits the wait for another replica to become leader at a planned stop.
	transferTimeout = 3 * time.Second
)

// RunControl runs a control replica. The end of stop requests a planned stop; the end of kill stops
// the replica immediately.
func RunControl(stop, kill context.Context, s *ControlSettings, out io.Writer) error {
	b, err := newBaseProcess(out, s.LogLevel, s.Name, s.MemoryMB, s.OpenFiles)
	if err != nil {
		return err
	}
	defer b.close()
	dir := dataDir{settings: s, logger: b.logger, metrics: b.metrics}
	err = b.runControl(stop, kill, dir, s)
	if startup.IsStopped(err) {
		return nil
	}
	if err != nil {
		b.logger.Log(eventEndedByError, zap.Error(err), zap.Strings("log_folder_bytes", dir.folderSizes()), zap.Int64("disk_mb", s.DiskMB))
	}
	return err
}

func (b *baseProcess) runControl(stop, kill context.Context, dir dataDir, s *ControlSettings) error {
	startCtx, endStart := context.WithCancel(stop)
	defer endStart()
	defer context.AfterFunc(kill, endStart)()
	monitoring, err := b.serveMetrics(startCtx, s.ListenMetrics)
	if err != nil {
		return err
	}
	client := b.newHTTPClient(maxIdleConnsToLeader)
	replicaClient := b.newHTTPClient(maxIdleConnsToReplica)
	updates := make(chan replica.WorkUpdate)
	var self identity
	var r *replica.Replica
	err = b.start.Do(startCtx, "open the data folder", causeOfDataFolder, func() (err error) {
		if self, err = dir.loadIdentity(); err == nil {
			r, self, err = openReplica(b, dir, self, replicaClient, updates)
		}
		return err
	})
	if err != nil {
		return err
	}
	control := controlclient.New(controlAddresses(s.Seeds, s.ListenInternal), "http", client, b.metrics)
	platformClient := platform.NewClient(s.Adviser, b.sockets, b.logger)
	proxies := b.newCallProxies(s, platformClient)
	if err := b.serveControl(startCtx, s, r, control, platformClient, proxies); err != nil {
		r.Close()
		return err
	}
	monitoring.Handle("GET "+api.WherePath, workapi.WhereHandler(r))
	b.logger.Log(eventStarted, zap.Uint64("replica", self.ID), zap.Bool("joined", self.Joined), zap.Bool("bootstrap", s.Bootstrap))

	runCtx, cancel := context.WithCancel(kill)
	defer cancel()
	b.tasks.Go(func() { control.Run(runCtx) })
	b.tasks.Go(func() { platformClient.Run(runCtx) })
	proxies.run(runCtx, b, r)
	watcher := &seedWatcher{
		file: s.File, hangups: b.hangups, parse: parseControlSeeds, logger: b.logger, metrics: b.metrics, seeds: s.Seeds,
		apply: func(ctx context.Context, seeds []string) error {
			control.SetConfigured(controlAddresses(seeds, s.ListenInternal))
			return r.SetContacts(ctx, internalAddresses(seeds, s.ListenInternal))
		},
	}
	b.tasks.Go(func() { watcher.run(runCtx) })
	b.tasks.Go(func() {
		dispatcher.Run(runCtx, dispatcher.Options{
			Workers: platformClient, Delegate: proxies.leader, DelegateAbove: s.delegateAbove(), Proposer: r, Acceptor: r, Logger: b.logger, Metrics: b.metrics, SelfAddress: s.ListenInternal, TrustDeclaredRunTimes: s.TrustDeclaredRunTimes,
			Adviser:     &dispatcher.RelayAdviser{SelfAddress: s.ListenInternal, Local: platformClient, Client: client},
			WorkerLease: s.WorkerLeaseMax * leasePercent / 100, MaxLease: s.WorkerLeaseMax, HoldWait: holdWait, ClockLagPPM: maxClockDriftPPM,
		}, updates)
	})
	ended := make(chan error, 1)
	go func() { ended <- r.Run(runCtx) }()
	select {
	case err := <-ended:
		// The tasks must not call workers any more while the process waits.
		cancel()
		return b.afterReplica(startCtx, dir, self, err)
	case err := <-b.failures:
		cancel()
		return errors.Join(err, <-ended)
	case <-stop.Done():
	}
	b.logger.Log(eventStopping)
	transferCtx, cancelTransfer := context.WithTimeout(kill, transferTimeout)
	defer cancelTransfer()
	proxies.stop(transferCtx)
	stopErr := r.Stop(transferCtx)
	cancel()
	err = <-ended
	b.tasks.Wait()
	if errors.Is(stopErr, replica.ErrStopped) || errors.Is(stopErr, context.DeadlineExceeded) {
		stopErr = nil
	}
	return errors.Join(err, stopErr)
}

// afterReplica handles the error with which the replica has ended. A replica whose log was lost gets a new identity;
// the process ends and joins the group at its next start. A replica that has received what this version of the
// program cannot read stays stopped until an operator ends the process: a further start would end in the same way.
func (b *baseProcess) afterReplica(ctx context.Context, dir dataDir, self identity, runErr error) error {
	switch {
	case errors.Is(runErr, replica.ErrMustJoin):
		err := b.start.Do(ctx, "store a new identity", causeOfDataFolder, func() error {
			_, err := dir.replaceIdentity(self, runErr)
			return err
		})
		return errors.Join(runErr, err)
	case runErr != nil && causeOfDataFolder(runErr).NeedsOperator():
		b.closeServers(monitoringServers)
		b.start.AwaitOperator(ctx, "run the control replica", causeOfDataFolder(runErr), runErr)
		return nil
	}
	return runErr
}

// monitoringServers is the number of listeners that serveMetrics opens. They come first.
const monitoringServers = 1

// causeOfDataFolder returns why the data folder cannot be used.
func causeOfDataFolder(err error) startup.Cause {
	var damage *storage.DamageError
	switch {
	case diskio.IsFull(err):
		return startup.CauseDiskFull
	case errors.Is(err, replica.ErrNotInitialVoter):
		return startup.CauseSettings
	case errors.As(err, &damage), errors.Is(err, replica.ErrUnknownCommand), codec.IsDecodeError(err):
		return startup.CauseOtherVersion
	}
	return startup.CauseDataFolder
}

// controlAddresses returns the addresses at which this process looks for the leader: its own, then
// those of the seeds.
func controlAddresses(seeds []string, own string) []string {
	return append([]string{own}, internalAddresses(seeds, own)...)
}

// openReplica opens the log of the replica. If the log is damaged, it creates a new identity with
// an empty log, under which the replica joins its group.
func openReplica(b *baseProcess, dir dataDir, self identity, client *http.Client, updates chan<- replica.WorkUpdate) (*replica.Replica, identity, error) {
	r, err := newReplica(b, dir, self, client, updates)
	if !mustReplaceIdentity(err) {
		return r, self, err
	}
	self, err = dir.replaceIdentity(self, err)
	if err != nil {
		return nil, self, err
	}
	r, err = newReplica(b, dir, self, client, updates)
	return r, self, err
}

func newReplica(b *baseProcess, dir dataDir, self identity, client *http.Client, updates chan<- replica.WorkUpdate) (*replica.Replica, error) {
	s := dir.settings
	limit, err := dir.freeLogSpace(self)
	if err != nil {
		return nil, err
	}
	disk, err := diskio.NewFolder(filepath.Join(s.DataDir, self.logFolderName()))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return replica.New(replica.Options{
		ID: replog.ReplicaID(self.ID), Voters: self.initialVoters(), Contacts: internalAddresses(s.Seeds, s.ListenInternal), Address: s.ListenInternal, Join: self.Joined, FirstStart: s.Bootstrap,
		Scheme: "http", Client: client, Logger: b.logger, Metrics: b.metrics,
		Storage: storage.Options{
			Disk: disk, SegmentBytes: segmentBytes, LimitBytes: limit,
		},
		ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, HeartbeatInterval: heartbeatInterval,
		MaxClockDriftPPM: maxClockDriftPPM, SnapshotEveryEntries: snapshotEveryEntries, JobMemoryBytes: connmemory.JobBytes(s.MemoryMB), LogMemoryBytes: connmemory.LogBytes(s.MemoryMB), Seed: uint64(time.Now().UnixNano()),
		AutoVoters: 2*s.TolerateReplicas + 1, WorkUpdates: updates, EntryDocument: platform.EntryDocument,
	})
}

func (b *baseProcess) serveControl(ctx context.Context, s *ControlSettings, r *replica.Replica, control *controlclient.Client, platformClient *platform.Client, proxies *callProxies) error {
	internal := http.NewServeMux()
	internal.Handle("/", r.Handler())
	proxies.handle(internal)
	prefix, relay := dispatcher.NewRelayHandler(platformClient)
	internal.Handle(prefix, relay)
	registry := workapi.NewRegistry(workapi.RegistryOptions{Control: control, Local: r, SelfAddress: s.ListenInternal, Logger: b.logger, Metrics: b.metrics})
	external, err := platform.NewControlHandler(registry, b.logger, s.ListenControl)
	if err != nil {
		return err
	}
	err = b.startServing(ctx, s.ListenInternal, func() error { return b.serve(openfiles.UseProcesses, s.ListenInternal, internal) })
	if err != nil {
		return err
	}
	return b.startServing(ctx, s.ListenControl, func() error { return b.serve(openfiles.UseCallers, s.ListenControl, external) })
}
