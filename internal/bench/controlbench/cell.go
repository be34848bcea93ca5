package controlbench

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/entry"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/settings"
	"github.com/godwitlink/godwitlink/internal/workeragent"
)

//go:embed cell.toml
var cellFile string

const (
	controlReplicas = 5
	entryProcesses  = 9
	// tasksPerWorker is the planned 4,900 running tasks on 900 workers, rounded up.
	tasksPerWorker = 6
	tasksPerJob    = 1000
	startTimeout   = 60 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// testCell holds the processes of one measurement: a control group, entry processes and workers.
type testCell struct {
	folder         string
	group          *localgroup.Group
	workers        int
	leaseGrants    chan leaseGrant // received by the workers
	workerBytes    atomic.Int64    // sent and received on all worker connections
	assignments    chan assignment // tasks of urgent jobs
	firstUrgentJob atomic.Uint64   // lowest id of an urgent job; 0 before the fillers are submitted
	cancels        []context.CancelFunc
	exited         chan struct{} // one message for each entry process and worker
	processCount   int
	entryCancels   []context.CancelFunc // of the entry processes
}

// leaseGrant is a lease that a worker received.
type leaseGrant struct {
	worker int
	lease  time.Duration
}

func startCell(ctx context.Context, folder string, workers int) (*testCell, error) {
	folder, err := os.MkdirTemp(folder, "controlbench-")
	if err != nil {
		return nil, err
	}
	group, err := localgroup.Start(localgroup.Options{Folder: folder, Size: controlReplicas})
	if err != nil {
		return nil, err
	}
	c := &testCell{
		folder: folder, group: group, workers: workers,
		leaseGrants: make(chan leaseGrant, 4*workers),
		assignments: make(chan assignment, urgentJobs*urgentJobs),
		exited:      make(chan struct{}, entryProcesses+workers),
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return c, c.populate(ctx)
}

// populate applies the cell file, starts the entry processes and workers, and waits until the
// long-running tasks are placed.
func (c *testCell) populate(ctx context.Context) error {
	if err := c.applyCellFile(ctx, 1, workerLeaseFor(1)); err != nil {
		return err
	}
	platform, err := c.startEntryProcesses()
	if err != nil {
		return err
	}
	for i := range c.workers {
		c.startWorker(i, platform)
	}
	if err := c.awaitStatus(ctx, func(s *state.StatusView) bool { return s.Workers == c.workers }); err != nil {
		return err
	}
	tasks := c.workers * tasksPerWorker
	for first := 0; first < tasks; first += tasksPerJob {
		spec := cell.JobSpec{
			Name: "serve", Team: "bench", Policy: "long-running", Priority: cell.PriorityNormal,
			Tasks: min(tasksPerJob, tasks-first), Size: cell.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30},
			Command: "serve",
		}
		command := state.Command{SubmitJob: &state.SubmitJob{Key: fmt.Sprintf("serve-%d", first), Spec: spec}}
		result, err := c.group.Client().Propose(ctx, command)
		if err != nil {
			return err
		}
		if result.Refusal != state.RefusalNone {
			return fmt.Errorf("job refused: %s %s", result.Refusal, result.Detail)
		}
	}
	return c.awaitStatus(ctx, func(s *state.StatusView) bool { return s.Allocations == tasks })
}

// workerLeaseFor returns a worker lease that is unique to the generation, so that the lease granted
// to a worker shows which generation the granting replica uses.
func workerLeaseFor(generation int) time.Duration {
	return 15*time.Second + time.Duration(generation)*time.Millisecond
}

func (c *testCell) applyCellFile(ctx context.Context, generation int, lease time.Duration) error {
	body := strings.Replace(cellFile, "generation = 1\n", fmt.Sprintf("generation = %d\n", generation), 1)
	body = strings.Replace(body, `worker_lease = "15s"`, fmt.Sprintf("worker_lease = %q", lease), 1)
	command := state.Command{ApplyFile: &state.ApplyFile{Body: []byte(body), From: "controlbench"}}
	result, err := c.group.Client().Propose(ctx, command)
	if err == nil && result.Refusal != state.RefusalNone {
		err = fmt.Errorf("cell file refused: %s %s %v", result.Refusal, result.Detail, result.File)
	}
	return err
}

func commonSettings(name string) settings.Common {
	return settings.Common{Name: name, Region: "r1", FailureDomain: "r1-a", LogLevel: "error"}
}

// freeAddress returns a loopback address with a port that was free when it was tested. Another
// process can still take the port before the caller listens on it.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (c *testCell) startEntryProcesses() ([]string, error) {
	plain := settings.TLS{Mode: settings.TLSPlain}
	var controls, platform []string
	for i := range controlReplicas {
		controls = append(controls, c.group.Address(i))
	}
	for i := range entryProcesses {
		var addresses [5]string
		for k := range addresses {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			addresses[k] = address
		}
		process, err := entry.New(entry.Settings{
			Common:        commonSettings(fmt.Sprintf("entry-%d", i+1)),
			ListenCallers: addresses[0], ListenPlatform: addresses[1], ListenInternal: addresses[2], ListenMetrics: addresses[3],
			ListenOperators: addresses[4], MaxConnections: 1000, MemoryMB: 512,
			CallersTLS: plain, OperatorsTLS: plain, InternalTLS: plain,
			ControlAddresses: controls, StopGrace: time.Second,
		}, eventlog.Nop())
		if err != nil {
			return nil, err
		}
		platform = append(platform, addresses[1])
		// The process is killed without draining: the benchmark needs no planned stop.
		kill, cancel := context.WithCancel(context.Background())
		c.cancels = append(c.cancels, cancel)
		c.entryCancels = append(c.entryCancels, cancel)
		c.processCount++
		go func() {
			// Workers of a failed entry process get no grants, which fails the measurement.
			_ = process.Run(kill, kill)
			c.exited <- struct{}{}
		}()
	}
	return platform, nil
}

func (c *testCell) startWorker(i int, platform []string) {
	var entries []string
	for k := range platform {
		entries = append(entries, platform[(i+k)%len(platform)])
	}
	worker := workeragent.New(workeragent.Settings{
		Common: commonSettings(fmt.Sprintf("worker-%d", i)),
		Rack:   fmt.Sprintf("rack-%d", i/8), Pool: "general", CPUs: 64, Memory: 128 * strictconf.Bytes(1<<30),
		Entries: entries, ListenDebug: "127.0.0.1:0",
	}, workeragent.Hooks{Dial: c.dial, OnResponse: func(response agent.Response) { c.recordResponse(i, response) }}, eventlog.Nop())
	kill, cancel := context.WithCancel(context.Background())
	c.cancels = append(c.cancels, cancel)
	c.processCount++
	go func() {
		_ = worker.Run(context.Background(), kill)
		c.exited <- struct{}{}
	}()
}

func (c *testCell) recordResponse(worker int, response agent.Response) {
	c.recordAssignments(response)
	if !response.Granted {
		return
	}
	select {
	case c.leaseGrants <- leaseGrant{worker: worker, lease: response.Terms.Duration}:
	default:
		// The channel is full because no measurement reads it; the next grant repeats the terms.
	}
}

func (c *testCell) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &c.workerBytes}, nil
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *testCell) awaitStatus(ctx context.Context, done func(*state.StatusView) bool) error {
	var last *state.StatusView
	for {
		answer, err := c.group.Client().Read(ctx, state.Query{Status: &state.StatusQuery{}})
		if err == nil && answer.Status != nil && done(answer.Status) {
			return nil
		}
		if answer.Status != nil {
			last = answer.Status
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("cell did not reach the expected status, last status %+v: %w", last, ctx.Err())
		}
	}
}

func (c *testCell) close() error {
	for _, cancel := range c.cancels {
		cancel()
	}
	for range c.processCount {
		<-c.exited
	}
	if err := c.group.Close(); err != nil {
		return err
	}
	return os.RemoveAll(filepath.Clean(c.folder))
}
