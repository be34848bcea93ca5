// Package entry implements the entry process, which serves callers, operators,
// worker agents and backend servers. Its tasks are the feed (membership and
// configuration), the relay (worker leases), the health task (readiness) and
// those of internal/gateway (callers' requests and announcements).
package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/memorybudget"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/endpoint"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/gateway"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// maxControlConnections limits the connections to one control replica. The feed
// and the renewals use one each, proposals and reads use the others.
const maxControlConnections = 64

// Entry is an entry process.
type Entry struct {
	settings  Settings
	logger    *eventlog.Logger
	metrics   *metrics.Set
	self      state.Member
	client    *controlclient.Client
	gateway   *gateway.Gateway
	memory    *connmemory.Budget
	health    *health
	relay     *relayTask
	feed      *feed
	endpoints endpointSet
	listeners listeners
	stopping  chan struct{}
}

// New creates an entry process and opens its sockets. Requests are served only
// after Run is called.
func New(s Settings, logger *eventlog.Logger) (*Entry, error) {
	set := metrics.New()
	division, err := memorybudget.Divide(connmemory.Bytes(s.MemoryLimitMB()))
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: s, logger: logger, metrics: set,
		self: state.Member{
			Name: cell.EntryName(s.Name), Incarnation: cell.Incarnation(time.Now().UnixMilli()),
			Address: s.ListenInternal,
			Region:  cell.Region(s.Region), FailureDomain: cell.FailureDomain(s.FailureDomain),
		},
		memory:    connmemory.New(division, logger, set),
		health:    newHealth(),
		listeners: listeners{logger: logger},
		stopping:  make(chan struct{}),
	}
	if err := e.openEndpoints(); err != nil {
		return nil, err
	}
	e.client = controlclient.New(s.ControlAddresses, e.endpoints.internal.Scheme(), e.internalClient(), set)
	e.gateway = gateway.New(gateway.Options{
		Entry: e.self.Name, Incarnation: e.self.Incarnation,
		Region: e.self.Region, FailureDomain: e.self.FailureDomain,
		Logger: logger, Metrics: set, Control: e.client, Seed: uint64(e.self.Incarnation),
		PeerScheme: e.endpoints.internal.Scheme(), PeerClient: e.internalClient(),
	})
	e.relay = newRelayTask(e.client, e.self, logger, set)
	e.feed = &feed{
		client: e.client, self: e.self, gateway: e.gateway, logger: logger, metrics: set,
		attached: e.relay.attached, assigned: e.relay.assigned, configured: e.health.configured,
	}
	if err := e.listen(); err != nil {
		e.listeners.close()
		return nil, err
	}
	return e, nil
}

// endpointSet holds the TLS configuration of each group of listeners.
type endpointSet struct {
	callers, operators, internal, plain *endpoint.Endpoint
}

func (e *Entry) openEndpoints() error {
	for _, target := range []struct {
		into     **endpoint.Endpoint
		settings settings.TLS
	}{
		{&e.endpoints.callers, e.settings.CallersTLS},
		{&e.endpoints.operators, e.settings.OperatorsTLS},
		{&e.endpoints.internal, e.settings.InternalTLS},
		{&e.endpoints.plain, settings.TLS{Mode: settings.TLSPlain}},
	} {
		opened, err := endpoint.Open(target.settings, e.logger, e.metrics)
		if err != nil {
			return err
		}
		*target.into = opened
	}
	return nil
}

// internalClient returns an HTTP client for calls to control replicas and other
// entry processes.
func (e *Entry) internalClient() *http.Client {
	return e.endpoints.internal.Client(&http.Transport{
		MaxIdleConnsPerHost: maxControlConnections, MaxConnsPerHost: maxControlConnections,
	})
}

// listen opens the sockets. The callers' socket comes first, because a planned stop
// closes the sockets in this order.
func (e *Entry) listen() error {
	callers, addTLS, err := e.endpoints.callers.ListenLayered(e.settings.ListenCallers)
	if err != nil {
		return err
	}
	e.memory.BoundUnread(connmemory.PeerOperators, callers)
	limit := func(l net.Listener) net.Listener {
		limited := e.memory.LimitAnswering(connmemory.PeerOperators, addTLS(l), gateway.OverloadedAnswer)
		return e.gateway.CallerListener(limited, e.settings.MaxConnections)
	}
	server := e.gateway.CallerServer(e.callersHandler())
	server.Handler = e.memory.Handler(connmemory.PeerOperators, server.Handler)
	connmemory.Attach(server)
	e.listeners.add(callers, limit, server)
	for _, l := range []struct {
		endpoint *endpoint.Endpoint
		mode     settings.TLSMode
		peer     connmemory.Peer
		address  string
		handler  http.Handler
	}{
		{e.endpoints.operators, e.settings.OperatorsTLS.Mode, connmemory.PeerOperators, e.settings.ListenOperators, e.operatorsHandler()},
		{e.endpoints.plain, settings.TLSPlain, connmemory.PeerOperators, e.settings.ListenPlatform, e.platformHandler()},
		{e.endpoints.internal, e.settings.InternalTLS.Mode, connmemory.PeerProcesses, e.settings.ListenInternal, rpcpb.NewPeerServer(e.gateway.PeerServer())},
		{e.endpoints.plain, settings.TLSPlain, connmemory.PeerProcesses, e.settings.ListenMetrics, e.monitoringHandler()},
	} {
		socket, layer, err := l.endpoint.ListenLayered(l.address)
		if err != nil {
			return err
		}
		e.memory.BoundUnread(l.peer, socket)
		server := newServer(l.handler)
		// With mutual TLS only peers with a certificate of the cell send requests.
		if l.mode == settings.TLSPlain {
			server.Handler = e.memory.Handler(l.peer, server.Handler)
			connmemory.Attach(server)
			layer = func(inner net.Listener) net.Listener { return e.memory.Limit(l.peer, inner) }
		}
		e.listeners.add(socket, layer, server)
	}
	return nil
}

// callersHandler serves jobs under /v1/ and routes all other requests. Routed requests
// do not pass through a ServeMux, because it would redirect paths with dots or
// double slashes instead of forwarding them to the backend server.
func (e *Entry) callersHandler() http.Handler {
	jobs := http.NewServeMux()
	jobsAPI{responder: responder{e.metrics}, control: e.client}.register(jobs)
	routed := e.gateway.CallerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/v1/") {
			jobs.ServeHTTP(w, request)
			return
		}
		routed.ServeHTTP(w, request)
	})
}

func (e *Entry) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	operatorsAPI{responder: responder{e.metrics}, control: e.client, entry: e.self.Name}.register(mux)
	return mux
}

func (e *Entry) platformHandler() http.Handler {
	mux := http.NewServeMux()
	workersAPI{responder: responder{e.metrics}, syncs: e.relay.syncs, stopping: e.stopping}.register(mux)
	mux.Handle("POST /v1/backends/announce", e.gateway.AnnounceHandler())
	return mux
}

func (e *Entry) monitoringHandler() http.Handler {
	mux := http.NewServeMux()
	e.health.register(mux)
	mux.Handle("GET /metrics", e.metrics)
	return mux
}

// Run serves requests until stop ends and then performs a planned stop. If kill
// ends, it returns at once.
func (e *Entry) Run(stop, kill context.Context) error {
	tasks, endTasks := context.WithCancel(kill)
	defer endTasks()
	for _, ep := range []*endpoint.Endpoint{e.endpoints.callers, e.endpoints.operators, e.endpoints.internal} {
		go ep.Watch(tasks)
	}
	go e.memory.Run(tasks)
	go e.client.Run(tasks)
	go e.health.run(tasks)
	go e.relay.run(tasks)
	go e.feed.run(tasks)
	gatewayEnded := make(chan error, 1)
	go func() { gatewayEnded <- e.gateway.Run(tasks) }()
	e.listeners.serve()
	e.logger.Log(eventStarted, zap.Int("pid", os.Getpid()))

	select {
	case <-stop.Done():
		e.plannedStop(kill)
	case err := <-gatewayEnded:
		e.listeners.close()
		return err
	}
	e.listeners.close()
	return nil
}

// plannedStop stops the process without aborting requests. It turns readiness
// off, gives load balancers time to notice, refuses new requests and then waits
// for the requests in flight.
func (e *Entry) plannedStop(kill context.Context) {
	e.logger.Log(eventStopping)
	e.health.drain(kill)
	e.listeners.drain()
	_ = pause.For(kill, e.settings.ReadinessDelay)
	grace, cancel := context.WithTimeout(kill, e.settings.StopGrace)
	defer cancel()
	aborted := e.gateway.Drain(grace)
	close(e.stopping)
	e.listeners.shutdown(grace)
	if aborted > 0 {
		e.logger.Log(eventRequestsAborted, zap.Int("requests", aborted))
	}
	e.leave(kill)
	e.logger.Log(eventStopped, zap.Int("cut", aborted))
}

// leaveTimeout limits the time to commit the leave. If the commit fails, the
// control group removes this process once it no longer receives its feed calls.
const leaveTimeout = 2 * time.Second

func (e *Entry) leave(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	command := state.Command{LeaveMember: &state.LeaveMember{Name: e.self.Name, Incarnation: e.self.Incarnation}}
	if _, err := e.client.Propose(ctx, command); err != nil {
		e.logger.Log(eventLeaveFailed, zap.Error(err))
	}
}
