package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// ControlClient is the part of the control group's client that the gateway uses.
type ControlClient interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Read(ctx context.Context, q state.Query) (state.Answer, error)
}

// Options are the settings of a gateway.
type Options struct {
	Entry         cell.EntryName
	Incarnation   cell.Incarnation
	Region        cell.Region
	FailureDomain cell.FailureDomain
	Logger        *eventlog.Logger
	Metrics       *metrics.Set
	Control       ControlClient
	Seed          uint64       // seed of the random choices
	PeerScheme    string       // URL scheme of other entry processes; default "http"
	PeerClient    *http.Client // client for calls to other entry processes; default a new one
}

// If the router's channel is full, new requests are refused as overloaded; messages
// about running requests wait.
const routerMailboxSize = 1024

// Gateway serves callers and backend servers.
type Gateway struct {
	opts              Options
	messages          chan message
	stopped           chan struct{} // closed when the router task has ended
	currentConfig     atomic.Pointer[serviceConfig]
	clock             *elapsedClock
	lastNumber        atomic.Uint64 // last number given to a request, a queue entry or a begin record
	memberIncarnation atomic.Uint64 // incarnation under which the entry process is a member
}

// New returns a gateway. It refuses requests with not-ready until SetConfig is
// called.
func New(opts Options) *Gateway {
	if opts.Logger == nil {
		opts.Logger = eventlog.Nop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	if opts.PeerScheme == "" {
		opts.PeerScheme = "http"
	}
	if opts.PeerClient == nil {
		opts.PeerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}
	g := &Gateway{
		opts:     opts,
		messages: make(chan message, routerMailboxSize),
		stopped:  make(chan struct{}),
		clock:    newElapsedClock(),
	}
	g.currentConfig.Store(&serviceConfig{})
	g.SetIncarnation(opts.Incarnation)
	return g
}

// Run runs the router task, which starts the pull tasks, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.stopped)
	newRouter(ctx, g).run(ctx)
	return nil
}

// CallerHandler serves routed requests.
func (g *Gateway) CallerHandler() http.Handler { return http.HandlerFunc(g.serveCaller) }

// AnnounceHandler serves POST /v1/backends/announce.
func (g *Gateway) AnnounceHandler() http.Handler { return http.HandlerFunc(g.serveAnnounce) }

// PeerServer serves Peer.Pull.
func (g *Gateway) PeerServer() rpcpb.Peer { return peerServer{gateway: g} }

// SetConfig puts a cell file in force. An older generation is ignored. Whenever the
// control group confirms the file in force, SetConfig is called again with a later
// confirmedAt, which is the time.Now at which the confirming call was sent.
func (g *Gateway) SetConfig(file cellconfig.File, confirmedAt time.Time) {
	g.send(setConfig{file: file, confirmedAt: g.clock.fromTime(confirmedAt)})
}

// SetIncarnation sets the incarnation under which this entry process is a
// member of the cell. It differs from Options.Incarnation after the control
// group removed this process and it joined again.
func (g *Gateway) SetIncarnation(incarnation cell.Incarnation) {
	g.memberIncarnation.Store(uint64(incarnation))
}

// SetMembers sets the list of the entry processes of the cell.
func (g *Gateway) SetMembers(members []state.Member) {
	g.send(setMembers{members: members})
}

// Drain refuses new requests and waits until those in flight have ended or ctx ends.
// It returns the number of requests that are still in flight.
func (g *Gateway) Drain(ctx context.Context) (remaining int) {
	g.opts.Logger.Log(eventDrainStarted)
	idle := make(chan struct{})
	g.send(startDrain{idle: idle})
	select {
	case <-idle:
	case <-g.stopped:
	case <-ctx.Done():
		remaining = g.inFlight()
	}
	g.logDrained(remaining)
	return remaining
}

func (g *Gateway) inFlight() int {
	reply := make(chan int, 1)
	g.send(countInFlight{reply: reply})
	select {
	case count := <-reply:
		return count
	case <-g.stopped:
		return 0
	}
}

// send sends a message to the router task and blocks while the channel is full. It
// returns false if the router task has ended.
func (g *Gateway) send(m message) bool {
	select {
	case g.messages <- m:
		return true
	case <-g.stopped:
		return false
	}
}

// trySend sends a message to the router task. It returns false if the channel is
// full.
func (g *Gateway) trySend(m message) bool {
	select {
	case g.messages <- m:
		return true
	default:
		return false
	}
}
