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
	// gaugeTicks is the number of ticks between updates of the gauges.
	gaugeTicks = 20
)

// router is the state of the router task.
type router struct {
	gateway   *Gateway
	ctx       context.Context
	random    *rand.Rand
	services  *services
	registry  *membership.Registry
	table     *routing.Table
	queues    map[cell.Service]*admission.Queue
	waiting   map[uint64]admit
	upstreams map[cell.BackendName]*upstream
	peers     *membership.Peers
	pullers   map[cell.EntryName]puller
	pulls     []pull
	flights   int
	idle      chan<- struct{} // closed when no request is in flight; nil unless a planned stop waits for it
	ticks     int
}

func newRouter(ctx context.Context, g *Gateway) *router {
	random := rand.New(rand.NewPCG(g.opts.Seed, uint64(g.opts.Incarnation)))
	return &router{
		gateway:  g,
		ctx:      ctx,
		random:   random,
		services: g.inForce.Load(),
		registry: membership.NewRegistry(g.opts.Entry, g.opts.Incarnation),
		table: routing.NewTable(routing.Options{
			Name:          g.opts.Entry,
			Region:        g.opts.Region,
			FailureDomain: g.opts.FailureDomain,
			Random:        random,
		}),
		queues:    map[cell.Service]*admission.Queue{},
		waiting:   map[uint64]admit{},
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
		r.pump(now, service)
	}
	r.answerPulls(now)
	r.ticks++
	if r.ticks%gaugeTicks == 0 {
		r.updateGauges()
	}
}

func (r *router) updateGauges() {
	backends, waiting := 0, 0
	for service, queue := range r.queues {
		backends += r.table.Known(service)
		waiting += queue.Waiting()
	}
	metrics := r.gateway.opts.Metrics
	metrics.Gauge(metricBackends, float64(backends))
	metrics.Gauge(metricWaiting, float64(waiting))
	metrics.Gauge(metricInFlight, float64(r.flights))
}

func (m setConfig) apply(r *router, now time.Time) {
	old := r.services
	if m.file.Generation < old.generation {
		r.gateway.opts.Metrics.Add(metricOldGeneration, "", 1)
		return
	}
	next := newServices(m.file, m.confirmedAt)
	next.draining = old.draining
	changed := m.file.Generation > old.generation
	r.services = next
	r.gateway.inForce.Store(next)
	if changed {
		r.reconfigure(now)
		r.gateway.opts.Logger.Log(eventConfig, zap.Uint64("generation", uint64(m.file.Generation)))
	}
}

func (r *router) reconfigure(now time.Time) {
	r.registry.SetLeases(r.services.leases())
	r.table.SetPolicies(r.services.policies())
	kept := map[cell.Service]bool{}
	for _, service := range r.services.byPrefix {
		kept[service.Name] = true
		opts := r.services.queueOptions(service)
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
		r.pump(now, service)
	}
}

func (m enter) apply(r *router, _ time.Time) {
	m.reply <- r.enter()
}

func (r *router) enter() exchange.Reason {
	if r.services.draining {
		return exchange.ReasonDraining
	}
	r.flights++
	return exchange.ReasonNone
}

func (leave) apply(r *router, _ time.Time) {
	r.flights--
	r.signalIdle()
}

func (m startDrain) apply(r *router, _ time.Time) {
	next := *r.services
	next.draining = true
	r.services = &next
	r.gateway.inForce.Store(&next)
	r.idle = m.idle
	r.signalIdle()
}

func (r *router) signalIdle() {
	if r.idle != nil && r.flights == 0 {
		close(r.idle)
		r.idle = nil
	}
}

func (m countFlights) apply(r *router, _ time.Time) { m.reply <- r.flights }

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
