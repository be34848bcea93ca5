package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/core/routing"
)

const (
	// tickInterval is the longest delay until an expiry or a deadline is noticed.
	tickInterval = 50 * time.Millisecond
	// ticksPerGaugeUpdate is the number of ticks between updates of the gauges.
	ticksPerGaugeUpdate = 20
)

// router is the state of the router task.
type router struct {
	gateway   *Gateway
	ctx       context.Context
	random    *rand.Rand
	config    *serviceConfig
	registry  *membership.Registry
	table     *routing.Table
	queues    map[cell.Service]*admission.Queue
	waiting   map[uint64]requestServer
	upstreams map[cell.BackendName]*upstream
	peers     *membership.Peers
	pullers   map[cell.EntryName]puller
	pulls     []pullRequest
	inFlight  int
	idle      chan<- struct{} // closed when no request is in flight; nil unless a planned stop waits for it
	ticks     int
}

func newRouter(ctx context.Context, g *Gateway) *router {
	random := rand.New(rand.NewPCG(g.opts.Seed, uint64(g.opts.Incarnation)))
	return &router{
		gateway:  g,
		ctx:      ctx,
		random:   random,
		config:   g.currentConfig.Load(),
		registry: membership.NewRegistry(g.opts.Entry, g.opts.Incarnation),
		table: routing.NewTable(routing.Options{
			Name:          g.opts.Entry,
			Region:        g.opts.Region,
			FailureDomain: g.opts.FailureDomain,
			Random:        random,
		}),
		queues:    map[cell.Service]*admission.Queue{},
		waiting:   map[uint64]requestServer{},
		upstreams: map[cell.BackendName]*upstream{},
		peers:     membership.NewPeers(g.opts.Entry),
		pullers:   map[cell.EntryName]puller{},
	}
}

func (r *router) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.closeUpstreams()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.gateway.messages:
			m.apply(r, r.gateway.clock.now())
		case <-ticker.C:
			r.gateway.clock.advance()
			r.tick(r.gateway.clock.now())
		}
	}
}

func (r *router) tick(now time.Time) {
	r.registry.Expire(now)
	for _, name := range r.table.Expire(now) {
		r.gateway.opts.Logger.Log(eventBackendExpired, zap.String("backend", string(name)))
		r.dropUpstream(name)
	}
	for service, queue := range r.queues {
		queue.SetCeiling(r.table.Capacity(service))
		for _, refused := range queue.Expire(now) {
			r.refuse(queue, refused)
		}
		r.dispatchWaiting(now, service)
	}
	r.answerPulls(now)
	r.ticks++
	if r.ticks%ticksPerGaugeUpdate == 0 {
		r.updateGauges()
	}
}

func (r *router) updateGauges() {
	backends, waiting := 0, 0
	for service, queue := range r.queues {
		backends += r.table.ServerCount(service)
		waiting += queue.Waiting()
	}
	metrics := r.gateway.opts.Metrics
	metrics.SetGauge(metricBackends, float64(backends))
	metrics.SetGauge(metricWaiting, float64(waiting))
	metrics.SetGauge(metricInFlight, float64(r.inFlight))
}

func (m setConfig) apply(r *router, now time.Time) {
	old := r.config
	if m.file.Generation < old.generation {
		r.gateway.opts.Metrics.Add(metricOldGenerations, "", 1)
		return
	}
	next := newServiceConfig(m.file, m.confirmedAt)
	next.draining = old.draining
	changed := m.file.Generation > old.generation
	r.config = next
	r.gateway.currentConfig.Store(next)
	if changed {
		r.applyConfig(now)
		r.gateway.opts.Logger.Log(eventConfigChanged, zap.Uint64("generation", uint64(m.file.Generation)))
	}
}

func (r *router) applyConfig(now time.Time) {
	r.registry.SetLeases(r.config.leases())
	r.table.SetPolicies(r.config.policies())
	kept := map[cell.Service]bool{}
	for _, service := range r.config.byPrefix {
		kept[service.Name] = true
		opts := r.config.queueOptions(service)
		opts.Random = r.random
		if queue := r.queues[service.Name]; queue != nil {
			queue.Configure(opts)
			continue
		}
		r.queues[service.Name] = admission.New(opts)
	}
	for service := range r.queues {
		if !kept[service] {
			r.refuseAll(service, exchange.ReasonNoService)
			delete(r.queues, service)
			continue
		}
		r.dispatchWaiting(now, service)
	}
}

func (m addInFlight) apply(r *router, _ time.Time) {
	m.reply <- r.addInFlight()
}

func (r *router) addInFlight() exchange.Reason {
	if r.config.draining {
		return exchange.ReasonDraining
	}
	r.inFlight++
	return exchange.ReasonNone
}

func (removeInFlight) apply(r *router, _ time.Time) {
	r.inFlight--
	r.notifyIfIdle()
}

func (m startDrain) apply(r *router, _ time.Time) {
	next := *r.config
	next.draining = true
	r.config = &next
	r.gateway.currentConfig.Store(&next)
	r.idle = m.idle
	r.notifyIfIdle()
}

func (r *router) notifyIfIdle() {
	if r.idle != nil && r.inFlight == 0 {
		close(r.idle)
		r.idle = nil
	}
}

func (m countInFlight) apply(r *router, _ time.Time) { m.reply <- r.inFlight }

func (r *router) closeUpstreams() {
	for name := range r.upstreams {
		r.dropUpstream(name)
	}
}

func (r *router) dropUpstream(name cell.BackendName) {
	if known := r.upstreams[name]; known != nil {
		known.close()
		delete(r.upstreams, name)
	}
}
