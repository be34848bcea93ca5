package platformproc

import (
	"context"
	"net/http"
	"time"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/internal/dispatcher"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/proxying"
	"github.com/godwitlink/godwitlink/internal/replica"
)

const (
	// maxIdleConnsToProxy allows for the batches that are on their way to a call proxy or to the leader.
	maxIdleConnsToProxy = 4
	// membersInterval is the time between two readings of the members of the control group.
	membersInterval = time.Second
	// callsStopTimeout limits the wait for the answers of workers at a planned stop. A hold takes up to a
	// second.
	callsStopTimeout = 1300 * time.Millisecond
	// connsPerCalledWorker is the number of connections to a worker: one for a hold, one for a start.
	connsPerCalledWorker = 2
)

// delegateAbove returns the number of workers above which call proxies are used.
func (s *ControlSettings) delegateAbove() int {
	if s.CallProxyWorkers == 0 {
		return callproxy.DefaultThreshold
	}
	return s.CallProxyWorkers
}

// callProxies is both sides of the calls by proxies. A replica is the leader or a proxy.
type callProxies struct {
	self   string
	leader *proxying.Leader
	proxy  *proxying.Proxy
}

func (b *baseProcess) newCallProxies(s *ControlSettings, workers proxying.Workers) *callProxies {
	client := b.newHTTPClient(maxIdleConnsToProxy)
	return &callProxies{
		self: s.ListenInternal,
		leader: proxying.NewLeader(proxying.LeaderOptions{
			SelfAddress: s.ListenInternal, Client: client, PerProcess: workersPerProcess(s.OpenFiles),
			HoldMargin: dispatcher.HoldMargin, LateHold: dispatcher.LateHold, StopTimeout: dispatcher.StopTimeout,
			Logger: b.logger, Metrics: b.metrics,
		}),
		proxy: proxying.NewProxy(proxying.ProxyOptions{SelfAddress: s.ListenInternal, Workers: workers, Client: client, Logger: b.logger, Metrics: b.metrics}),
	}
}

// workersPerProcess returns for how many workers a process has descriptors. A quarter of the shared ones
// stays free for other uses.
func workersPerProcess(openFiles int) int {
	division, err := openfiles.Divide(openFiles - filesOutsideDataFolder)
	if err != nil {
		return 0 // newBaseProcess has refused such a limit
	}
	return (division.Reserved[openfiles.UseWorkers] + division.Shared*3/4) / connsPerCalledWorker
}

func (c *callProxies) handle(internal *http.ServeMux) {
	internal.Handle("POST "+proxying.CallsPath, c.proxy)
	internal.Handle("POST "+proxying.AnswersPath, c.leader)
}

// run starts the tasks.
func (c *callProxies) run(ctx context.Context, b *baseProcess, r *replica.Replica) {
	b.tasks.Go(func() { c.leader.Run(ctx) })
	b.tasks.Go(func() { c.proxy.Run(ctx) })
	b.tasks.Go(func() { c.followMembers(ctx, r) })
}

// stop waits until the calls that were taken over for another leader are answered.
func (c *callProxies) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callsStopTimeout)
	defer cancel()
	c.proxy.Stop(ctx)
}

// followMembers passes the addresses of the other control replicas on.
func (c *callProxies) followMembers(ctx context.Context, r *replica.Replica) {
	for ctx.Err() == nil {
		// Without an answer the former members stay.
		if _, members, err := r.GroupAddresses(ctx); err == nil {
			c.leader.SetMembers(ctx, members)
		}
		_ = pause.For(ctx, membersInterval) // ends early with ctx
	}
}
