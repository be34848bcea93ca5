// Package localgroup runs a control group inside one process, on loopback addresses and real files,
// for tests and benchmarks.
package localgroup

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Settings of the replicas, as in docs/design.md, section 7.
const (
	electionTimeoutMin = 400 * time.Millisecond
	electionTimeoutMax = 800 * time.Millisecond
	heartbeatInterval  = 100 * time.Millisecond
	maxClockDriftPPM   = 1000
	snapshotEvery      = 10_000
)

// idleConnections is the number of idle connections kept per replica: one for each concurrent call
// of a benchmark.
const idleConnections = 256

// ErrNoLeader is returned if no replica has become the leader before the context ended.
var ErrNoLeader = errors.New("control group has no leader")

// Options of a group.
type Options struct {
	Folder string                 // parent of the data folders of the replicas
	Size   int                    // number of initial replicas, which are all voters
	Logger *eventlog.Logger       // nil for none
	Tune   func(*replica.Options) // changes the options of a replica before each start; may be nil
	// Delay is the one-way delay of requests between replicas and of their answers, as on a link
	// between regions.
	Delay time.Duration
}

// Group is a control group. Its methods are not safe for concurrent use, except Client.
type Group struct {
	opts       Options
	network    *network
	peers      []replication.Peer // the initial voters, followed by the replicas added by Join
	members    []*member
	links      []*link
	client     *controlclient.Client
	http       *http.Client
	Metrics    *metrics.Set // shared by all replicas and the client
	cancel     context.CancelFunc
	clientDone chan struct{} // closed when the client's Run has returned
}

// member is one replica. It runs if replica is not nil.
type member struct {
	replica *replica.Replica
	server  *http.Server
	cancel  context.CancelFunc
	ended   chan error    // receives the result of replica.Run
	served  chan struct{} // closed when Serve has returned
}

// link is the network path from the other replicas to one replica. It persists across restarts.
type link struct {
	delay time.Duration
	cut   atomic.Bool
}

// Start reserves a network and starts all replicas.
func Start(opts Options) (*Group, error) {
	network, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{opts: opts, network: network, Metrics: metrics.New(), cancel: cancel, clientDone: make(chan struct{})}
	var listeners []net.Listener
	var addresses []string
	for range opts.Size {
		listener, err := g.listen()
		if err != nil {
			cancel()
			return nil, errors.Join(err, network.release())
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	g.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	g.client = controlclient.New(addresses, "http", g.http, g.Metrics)
	go func() { g.client.Run(ctx); close(g.clientDone) }()
	for i, listener := range listeners {
		if err := g.start(i, listener); err != nil {
			return nil, errors.Join(err, g.Close())
		}
	}
	return g, nil
}

// listen adds a replica to the group and opens its listener.
func (g *Group) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", g.network.address(len(g.peers)+1))
	if err != nil {
		return nil, err
	}
	g.peers = append(g.peers, replication.Peer{ID: replog.ReplicaID(len(g.peers) + 1), Address: listener.Addr().String()})
	g.members = append(g.members, &member{})
	g.links = append(g.links, &link{delay: g.opts.Delay})
	return listener, nil
}

// Join starts a new replica, which asks to join the group, and returns its number. The new replica
// is configured with the initial voters, but the voters are not configured with it.
func (g *Group) Join() (int, error) {
	listener, err := g.listen()
	if err != nil {
		return 0, err
	}
	i := len(g.peers) - 1
	return i, g.start(i, listener)
}

// Client returns the client of the group, which finds the leader by itself.
func (g *Group) Client() *controlclient.Client { return g.client }

// HTTP returns the HTTP client that Client uses, for calls to a single replica.
func (g *Group) HTTP() *http.Client { return g.http }

// Address returns the internal address of a replica.
func (g *Group) Address(i int) string { return g.peers[i].Address }

// Folder returns the data folder of a replica.
func (g *Group) Folder(i int) string {
	return filepath.Join(g.opts.Folder, fmt.Sprintf("replica-%d", i+1))
}

// Replica returns a replica, or nil if it does not run.
func (g *Group) Replica(i int) *replica.Replica { return g.members[i].replica }

// Restart starts a stopped replica again, at the same address.
func (g *Group) Restart(i int) error {
	listener, err := net.Listen("tcp", g.peers[i].Address)
	if err != nil {
		return err
	}
	return g.start(i, listener)
}

func (g *Group) start(i int, listener net.Listener) error {
	disk, err := diskio.NewFolder(g.Folder(i))
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	logger := g.opts.Logger
	if logger == nil {
		logger = eventlog.Nop()
	}
	opts := replica.Options{
		ID: g.peers[i].ID, Voters: g.peers[:g.opts.Size], Address: g.peers[i].Address, Join: i >= g.opts.Size, Scheme: "http", Logger: logger, Metrics: g.Metrics,
		Storage:            storage.Options{Disk: disk, SegmentBytes: storage.DefaultSegmentBytes},
		ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax,
		HeartbeatInterval: heartbeatInterval, MaxClockDriftPPM: maxClockDriftPPM,
		SnapshotEveryEntries: snapshotEvery, Seed: uint64(time.Now().UnixNano()),
	}
	if g.opts.Tune != nil {
		g.opts.Tune(&opts)
	}
	r, err := replica.New(opts)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{replica: r, cancel: cancel, ended: make(chan error, 1), served: make(chan struct{}), server: &http.Server{Handler: g.links[i].wrapHandler(r.Handler())}}
	go func() { m.ended <- r.Run(ctx) }()
	go func() {
		defer close(m.served)
		// Serve ends when Kill or Stop closes the server. Any other error shows as failed calls.
		_ = m.server.Serve(listener)
	}()
	g.members[i] = m
	return nil
}

// wrapHandler delays requests between replicas, or leaves them unanswered while the link is cut.
func (l *link) wrapHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, rpcpb.ReplicationPathPrefix) {
			handler.ServeHTTP(w, r)
			return
		}
		if l.cut.Load() {
			// The server detects that the sender has closed the connection only after the body was
			// read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(l.delay)
		handler.ServeHTTP(w, r)
		time.Sleep(l.delay)
	})
}

// Cut drops all requests of other replicas to replica i, as a partition in this direction does, until
// it is called with false. Requests sent by replica i still arrive.
func (g *Group) Cut(i int, cut bool) { g.links[i].cut.Store(cut) }

// Kill stops a replica abruptly, as a crash does.
func (g *Group) Kill(i int) error {
	m := g.members[i]
	g.members[i] = &member{}
	closeErr := m.server.Close()
	m.cancel()
	err := errors.Join(closeErr, <-m.ended)
	m.awaitClosedListener()
	return err
}

// Stop stops a replica in a planned way.
func (g *Group) Stop(ctx context.Context, i int) error {
	m := g.members[i]
	g.members[i] = &member{}
	err := errors.Join(m.replica.Stop(ctx), <-m.ended)
	m.cancel()
	err = errors.Join(err, m.server.Shutdown(ctx))
	m.awaitClosedListener()
	return err
}

// awaitClosedListener waits until Serve of a closed server has returned. A server that is closed
// before Serve was called closes its listener only in Serve.
func (m *member) awaitClosedListener() { <-m.served }

// Wait waits until a replica ends by itself and returns its result.
func (g *Group) Wait(i int) error {
	m := g.members[i]
	err := <-m.ended
	m.ended <- err
	return err
}

// leaderPollInterval is the time between two searches for a leader.
const leaderPollInterval = 5 * time.Millisecond

// Leader waits until a replica is the leader with a valid lease and returns its number.
func (g *Group) Leader(ctx context.Context) (int, error) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		for i, m := range g.members {
			if m.replica == nil {
				continue
			}
			report, err := m.replica.Report(ctx)
			if err == nil && report.Leading && time.Now().Before(report.LeaseEnd) {
				return i, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, ErrNoLeader
		case <-ticker.C:
		}
	}
}

// Close kills all replicas and releases the network.
func (g *Group) Close() error {
	var err error
	for i, m := range g.members {
		if m.replica != nil {
			err = errors.Join(err, g.Kill(i))
		}
	}
	g.cancel()
	<-g.clientDone
	return errors.Join(err, g.network.release())
}
