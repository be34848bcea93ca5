package platformsoak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	manyCount      = flag.Int("many.workers", 1300, "number of light stand-in workers")
	manyStartRate  = flag.Int("many.starts", 300, "tasks submitted a second")
	manyDuration   = flag.Duration("many.time", 6*time.Second, "duration of the load")
	manyThreshold  = flag.Int("many.threshold", 0, "number of workers above which call proxies are used; 0 means the default")
	manyReportTime = flag.Duration("many.report", 2*time.Second, "time between two reports of a worker")
)

// Metrics of a control process.
const workerConnections = `sockets_open{reason="workers"}`

var shownMetrics = []string{"call_proxies_used", "call_proxy_routed_total", "call_proxy_lost_total", "call_proxy_faults_total", "call_proxy_served_total", "control_is_leader", "control_term"}

const (
	manyTasksPerJob  = 25
	manyTaskDuration = 2 * time.Second
)

// lightWorker answers calls without checking any rule. It costs little, so that thousands fit into a test.
type lightWorker struct {
	mu       sync.Mutex
	id       string
	address  string
	born     int64
	runs     map[runKey]bool
	ends     [][]any
	lastEnd  uint64
	changed  chan struct{} // closed at the next end
	held     atomic.Int64  // holds
	heldAt   time.Time     // when the last hold came or ended
	maxGap   time.Duration // longest time without a hold since resetGap
	started  *atomic.Int64
	accepted *atomic.Int64 // connections, of all workers
}

func (w *lightWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil || r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	answer := map[string]any{"clockMs": time.Now().UnixMilli() - w.born, "born": w.born}
	switch r.URL.Path {
	case "/godwitlink/hold":
		w.held.Add(1)
		answer["active"], answer["finished"] = w.hold(r, call)
	case "/godwitlink/run-start":
		w.start(runKey{call.Task, call.RunID})
	}
	// An error means that the caller has gone.
	_ = json.NewEncoder(rw).Encode(answer)
}

// hold waits for an end and returns the active runs and the ends that are not acknowledged.
func (w *lightWorker) hold(r *http.Request, call workerCall) (active, ends [][]any) {
	w.noteHold()
	defer w.noteHold()
	timeout := time.After(time.Duration(call.WaitMs) * time.Millisecond)
	for waiting := true; ; {
		w.mu.Lock()
		for len(w.ends) > 0 && w.ends[0][0].(uint64) <= call.LastSeen {
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !waiting {
			for run := range w.runs {
				active = append(active, []any{run.task, run.runID, "", 50, 0})
			}
			ends = append(ends, w.ends...)
			w.mu.Unlock()
			return active, ends
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
	}
}

// noteHold measures the time without a hold.
func (w *lightWorker) noteHold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.heldAt.IsZero() {
		w.maxGap = max(w.maxGap, now.Sub(w.heldAt))
	}
	w.heldAt = now
}

// resetGap begins a new measurement of the longest time without a hold and returns the former one.
func (w *lightWorker) resetGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	gap := w.maxGap
	w.maxGap = 0
	return gap
}

func (w *lightWorker) start(run runKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[run] {
		return
	}
	w.runs[run] = true
	w.started.Add(1)
	time.AfterFunc(manyTaskDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.runs, run)
		w.lastEnd++
		w.ends = append(w.ends, []any{w.lastEnd, run.task, run.runID, "done", ""})
		close(w.changed)
		w.changed = make(chan struct{})
	})
}

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// startLightWorkers starts workers that report until the test ends.
func startLightWorkers(t *testing.T, n int, controls []string) (workers []*lightWorker, started, accepted *atomic.Int64) {
	started, accepted = &atomic.Int64{}, &atomic.Int64{}
	ended := make(chan struct{})
	var reports sync.WaitGroup
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32, MaxConnsPerHost: 64}}
	t.Cleanup(func() {
		close(ended)
		reports.Wait()
		client.CloseIdleConnections()
	})
	for i := range n {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 100+i/250, 1+i%250))
		if err != nil {
			t.Fatal(err)
		}
		w := &lightWorker{
			id: fmt.Sprint("light-", i), address: listener.Addr().String(), born: time.Now().UnixMilli(), runs: map[runKey]bool{},
			changed: make(chan struct{}), started: started, accepted: accepted,
		}
		workers = append(workers, w)
		server := &http.Server{Handler: w}
		t.Cleanup(func() { server.Close() })
		go func() { _ = server.Serve(countingListener{listener, accepted}) }() // ends with Close
		reports.Go(func() { w.report(client, controls, i, ended) })
	}
	return workers, started, accepted
}

// report sends the reports of a worker, each to the next control process if the last one has failed.
func (w *lightWorker) report(client *http.Client, controls []string, n int, ended <-chan struct{}) {
	wait := time.Duration(n) * time.Millisecond // spreads the reports
	for {
		select {
		case <-ended:
			return
		case <-time.After(wait):
		}
		wait = *manyReportTime
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":["a","r1"],"clockMs":%d,"sequence":1,"born":%d}`,
			serviceName, w.address, workerMilliCPU, workerMemoryMB, time.Now().UnixMilli()-w.born, w.born)
		response, err := client.Post("http://"+controls[n%len(controls)]+"/godwitlink/Instances.Heartbeat/"+w.id, "application/json", strings.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			n++
		}
	}
}

// metrics returns the metrics of a process by their names and labels.
func (p *process) metrics(t *testing.T) map[string]float64 {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portMetrics))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if values[name], err = strconv.ParseFloat(value, 64); err != nil {
			t.Fatalf("metric %q: %v", line, err)
		}
	}
	return values
}

// processorTime returns the processor time that a process has used.
func (p *process) processorTime(t *testing.T) time.Duration {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid.Load()))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := 0
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / 100
}

// Guards against a leader that calls thousands of workers itself, and against proxies that open connections
// again and again. It shows what the processes use.
func TestManyWorkers(t *testing.T) {
	a := startAdviser(t)
	s := startSystem(t, buildPrograms(t), a.address, *manyThreshold)
	if err := s.applyConfig(1, readyTimeout); err != nil {
		t.Fatal(err)
	}
	workers, started, accepted := startLightWorkers(t, *manyCount, s.controlAddresses())
	held := func() (holds int64, without int) {
		for _, w := range workers {
			n := w.held.Load()
			if holds += n; n == 0 {
				without++
			}
		}
		return holds, without
	}
	for end := time.Now().Add(completionTimeout); ; time.Sleep(200 * time.Millisecond) {
		if _, without := held(); without == 0 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("%d of %d workers were not called", without, *manyCount)
		}
	}
	submitted := submitTasks(t, s, *manyDuration/2)
	leader := s.leader()
	var used []time.Duration
	for _, p := range s.controls {
		used = append(used, p.processorTime(t))
	}
	startsBefore, acceptedBefore, at := started.Load(), accepted.Load(), time.Now()
	holdsBefore, _ := held()
	submitted += submitTasks(t, s, *manyDuration)
	elapsed := time.Since(at).Seconds()
	holds, _ := held()
	t.Logf("%d workers, %d tasks submitted; %.0f starts, %.0f holds and %.0f new connections a second", *manyCount, submitted,
		float64(started.Load()-startsBefore)/elapsed, float64(holds-holdsBefore)/elapsed, float64(accepted.Load()-acceptedBefore)/elapsed)
	for i, p := range s.controls {
		values := p.metrics(t)
		t.Logf("%s (leader: %v): %.3f cores, %.0f connections to workers", p.name, p == leader, (p.processorTime(t)-used[i]).Seconds()/elapsed, values[workerConnections])
		for name, value := range values {
			for _, shown := range shownMetrics {
				if strings.HasPrefix(name, shown) {
					t.Logf("    %s %.0f", name, value)
				}
			}
		}
	}
	// There may be no leader for a while on a busy machine.
	for end := time.Now().Add(completionTimeout); started.Load() == startsBefore; submitTasks(t, s, time.Second) {
		if time.Now().After(end) {
			t.Fatal("no task was started")
		}
	}
	// The leader has called the workers that registered first itself. Its connections are closed once idle.
	for end := time.Now().Add(completionTimeout); ; time.Sleep(200 * time.Millisecond) {
		values := s.leader().metrics(t)
		if values["call_proxies_used"] > 0 && values[workerConnections] <= float64(*manyCount)/10 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the leader uses %.0f proxies and has %.0f connections to workers", values["call_proxies_used"], values[workerConnections])
		}
	}
	if got := accepted.Load(); got > int64(10**manyCount) {
		t.Errorf("%d connections to %d workers were opened", got, *manyCount)
	}
}

// Guards against workers that stay without calls when a process that calls them ends or is frozen, or when the
// leader changes.
func TestManyWorkersLoseAProxy(t *testing.T) {
	a := startAdviser(t)
	s := startSystem(t, buildPrograms(t), a.address, *manyThreshold)
	if err := s.applyConfig(1, readyTimeout); err != nil {
		t.Fatal(err)
	}
	workers, _, _ := startLightWorkers(t, *manyCount, s.controlAddresses())
	// awaitHolds waits until each worker has been held once more.
	awaitHolds := func() {
		before := make([]int64, len(workers))
		for i, w := range workers {
			before[i] = w.held.Load()
		}
		for end := time.Now().Add(completionTimeout); ; time.Sleep(50 * time.Millisecond) {
			missing := 0
			for i, w := range workers {
				if w.held.Load() == before[i] {
					missing++
				}
			}
			if missing == 0 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d of %d workers are not called any more", missing, len(workers))
			}
		}
	}
	awaitHolds()
	submitTasks(t, s, *manyDuration/2)
	for _, fault := range []string{"killed", "frozen", "killed as the leader"} {
		for _, w := range workers {
			w.resetGap()
		}
		leader := s.leader()
		p := s.controls[0]
		if p == leader {
			p = s.controls[1]
		}
		switch fault {
		case "killed as the leader":
			p = leader
			p.kill()
		case "killed":
			p.kill()
		case "frozen":
			p.signal(syscall.SIGSTOP)
		}
		at := time.Now()
		awaitHolds()
		submitTasks(t, s, *manyDuration/2)
		awaitHolds()
		if fault == "frozen" {
			p.signal(syscall.SIGCONT)
		} else {
			s.start(p, false)
		}
		var longest time.Duration
		late := 0
		for _, w := range workers {
			gap := w.resetGap()
			longest = max(longest, gap)
			if gap > 2*time.Second {
				late++
			}
		}
		t.Logf("%s %s for %v: the longest time of a worker without a hold was %v, %d were without one for 2 s; leader before %s, after %s", p.name, fault, time.Since(at), longest, late, leader.name, s.leader().name)
		submitTasks(t, s, *manyDuration/2)
		awaitHolds()
	}
}

// submitTasks submits jobs at a constant rate and returns the number of tasks in those that were accepted.
func submitTasks(t *testing.T, s *system, d time.Duration) (tasks int) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	interval := time.Second * manyTasksPerJob / time.Duration(*manyStartRate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var accepted atomic.Int64
	var calls sync.WaitGroup
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		<-ticker.C
		calls.Go(func() {
			entry := s.entries[i%len(s.entries)]
			body := fmt.Sprintf(`{"spec":"p","steps":[{"count":%d,"cpu":2000,"memMb":256,"estimateMs":%d}]}`, manyTasksPerJob, manyTaskDuration.Milliseconds())
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s%016x", entry.ip, portClients, jobPath, time.Now().UnixNano()), strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "h"
			response, err := client.Do(request)
			if err != nil {
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				accepted.Add(manyTasksPerJob)
			}
		})
	}
	calls.Wait()
	return int(accepted.Load())
}
