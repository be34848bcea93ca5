package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond // heartbeatMs of the deployment
	callTimeout       = time.Second
	maxLease          = 6 * time.Second        // holdMaxMs
	stopDuration      = 200 * time.Millisecond // at most stopMs, 400 ms
	tickInterval      = 10 * time.Millisecond
	workerMilliCPU    = 32_000
	workerMemoryMB    = 131_072
	serviceName       = "svc"
	kindA, kindB      = "a", "b" // kinds of workers
)

// fleet holds the stand-in workers. One lock covers all of them.
type fleet struct {
	mu       sync.Mutex
	record   *record
	controls []string
	client   *http.Client
	workers  []*worker
	runs     []*taskRun // all runs, in the order of their starts
	done     chan struct{}
	// crashing reports whether a worker ends instead of answering a call.
	crashing func(w *worker, r *http.Request) bool
}

// worker is one life of a stand-in worker.
type worker struct {
	id, address string
	server      *http.Server
	bootedAt    time.Time
	kind        string // its first label
	lost        bool
	token       uint64
	leaseEnd    time.Time
	active      map[string]*taskRun
	highestRun  map[string]uint64 // by task: highest run that ended or was stopped here
	ends        []end             // not acknowledged
	lastEnd     uint64
	changed     chan struct{} // closed when an end is added
}

// taskRun is a run of a task. endedAt is zero while it is active.
type taskRun struct {
	task      string
	run       uint64
	worker    *worker
	startedAt time.Time
	duration  time.Duration
	stopAt    time.Time
	endedAt   time.Time
	how       string
	kind      string // of the worker when the run began
}

type end struct {
	number uint64
	run    *taskRun
}

// startFleet starts n workers and their heartbeats.
func startFleet(o options, r *record, n int) (*fleet, error) {
	f := &fleet{record: r, controls: o.controls, client: newClient(), done: make(chan struct{}), crashing: func(*worker, *http.Request) bool { return false }}
	for i := range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(o.ip, "0"))
		if err != nil {
			return nil, err
		}
		w := &worker{
			id: fmt.Sprintf("i-%06x%02d", rand.Uint32N(1<<24), i), address: listener.Addr().String(), bootedAt: time.Now(), kind: kindA,
			active: map[string]*taskRun{}, highestRun: map[string]uint64{}, changed: make(chan struct{}),
		}
		w.server = &http.Server{Handler: f.handler(w)}
		f.workers = append(f.workers, w)
		// Serve ends when the worker is lost or the case ends.
		go func() { _ = w.server.Serve(listener) }()
		go f.sendHeartbeats(w)
	}
	go f.tick()
	return f, nil
}

func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}

// lose ends a worker for good: its runs end, its connections break, and nothing answers at its address.
func (f *fleet) lose(w *worker) {
	f.mu.Lock()
	w.lost = true
	f.endBoot(w)
	f.mu.Unlock()
	_ = w.server.Close()
}

// endBoot ends all runs of a worker. Nobody lists them any more.
func (f *fleet) endBoot(w *worker) {
	for _, run := range w.active {
		run.endedAt, run.how = time.Now(), "lost with its worker"
		f.record.log("run %d of %s on %s: lost with its worker, begun %.3f s before", run.run, run.task, w.id, time.Since(run.startedAt).Seconds())
	}
	w.active = map[string]*taskRun{}
}

func (f *fleet) stop() {
	close(f.done)
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

// tick ends the runs whose time has come.
func (f *fleet) tick() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(tickInterval):
		}
		f.mu.Lock()
		now := time.Now()
		for _, w := range f.workers {
			for _, run := range w.active {
				switch {
				case now.After(w.leaseEnd):
					f.endRun(run, "lapsed")
				case !run.stopAt.IsZero() && now.After(run.stopAt):
					f.endRun(run, "stopped")
				case now.Sub(run.startedAt) >= run.duration:
					f.endRun(run, "done")
				}
			}
		}
		f.mu.Unlock()
	}
}

func (f *fleet) endRun(run *taskRun, how string) {
	w := run.worker
	run.endedAt, run.how = time.Now(), how
	delete(w.active, run.task)
	w.highestRun[run.task] = max(w.highestRun[run.task], run.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, run})
	close(w.changed)
	w.changed = make(chan struct{})
	f.record.log("run %d of %s on %s: %s", run.run, run.task, w.id, how)
}

// workerCall has the fields of all calls to a worker.
type workerCall struct {
	Task     string `json:"task"`
	Run      uint64 `json:"runId"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Token    uint64 `json:"fencingToken"`
	LastSeen uint64 `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

func (f *fleet) handler(w *worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var call workerCall
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		if f.crashing(w, r) {
			f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, answer := f.handleCall(w, r, call)
		wait := strings.HasSuffix(r.URL.Path, "/hold") && status == http.StatusOK && len(w.ends) == 0 && call.WaitMs > 0
		changed := w.changed
		f.mu.Unlock()
		if wait {
			select {
			case <-changed:
			case <-time.After(time.Duration(call.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			f.mu.Lock()
			answer = w.lists()
			f.mu.Unlock()
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		// A caller that has gone needs no answer.
		_ = json.NewEncoder(rw).Encode(answer)
	})
}

// answer is the body of any answer of a worker.
type answer struct {
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Active   [][]any `json:"active,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

func (w *worker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() }

func (w *worker) lists() answer {
	a := answer{ClockMs: w.clock(), Born: w.bootedAt.UnixMilli()}
	for _, run := range w.active {
		percent := min(int(100*time.Since(run.startedAt)/run.duration), 99)
		a.Active = append(a.Active, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range w.ends {
		a.Finished = append(a.Finished, []any{e.number, e.run.task, e.run.run, e.run.how, ""})
	}
	return a
}

func (f *fleet) handleCall(w *worker, r *http.Request, call workerCall) (int, answer) {
	if r.Header.Get("X-Expect-Instance") != w.id {
		return http.StatusMisdirectedRequest, answer{ClockMs: w.clock()}
	}
	if call.Token < w.token {
		return http.StatusConflict, answer{ClockMs: w.clock(), Reason: "fence"}
	}
	w.token = call.Token
	lease := w.bootedAt.Add(time.Duration(call.UntilMs) * time.Millisecond)
	if longest := time.Now().Add(maxLease); lease.After(longest) {
		lease = longest
	}
	if lease.After(w.leaseEnd) && !strings.HasSuffix(r.URL.Path, "/run-stop") {
		w.leaseEnd = lease
	}
	switch r.URL.Path {
	case "/godwitlink/hold":
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.number > call.LastSeen {
				kept = append(kept, e)
			}
		}
		w.ends = kept
		return http.StatusOK, w.lists()
	case "/godwitlink/run-start":
		return f.startRun(w, call)
	case "/godwitlink/run-stop":
		w.highestRun[call.Task] = max(w.highestRun[call.Task], call.Run)
		if run := w.active[call.Task]; run != nil && run.run <= call.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopDuration)
		}
		return http.StatusOK, answer{ClockMs: w.clock()}
	}
	return http.StatusNotFound, answer{ClockMs: w.clock()}
}

func (f *fleet) startRun(w *worker, call workerCall) (int, answer) {
	a := answer{ClockMs: w.clock()}
	if known := w.active[call.Task]; known != nil && known.run == call.Run {
		return http.StatusOK, a
	}
	if w.highestRun[call.Task] >= call.Run {
		a.Reason = "old"
		return http.StatusConflict, a
	}
	if w.leaseEnd.Before(time.Now()) {
		a.Reason = "late"
		return http.StatusConflict, a
	}
	duration, err := time.ParseDuration(call.Spec)
	if err != nil {
		return http.StatusBadRequest, a
	}
	run := &taskRun{task: call.Task, run: call.Run, worker: w, startedAt: time.Now(), duration: duration, kind: w.kind}
	w.active[call.Task] = run
	f.runs = append(f.runs, run)
	f.record.log("run %d of %s on %s: begins", run.run, run.task, w.id)
	return http.StatusOK, a
}

// sendHeartbeats reports a worker about every heartbeatInterval, at the address that the last answer named.
func (f *fleet) sendHeartbeats(w *worker) {
	address := ""
	for sequence := 1; ; sequence++ {
		f.mu.Lock()
		lost := w.lost
		f.mu.Unlock()
		if lost {
			return
		}
		if address == "" {
			address = f.controls[rand.IntN(len(f.controls))]
		}
		address = f.report(w, address, sequence)
		wait := heartbeatInterval
		if address == "" {
			wait = 100 * time.Millisecond
		}
		select {
		case <-f.done:
			return
		case <-time.After(wait):
		}
	}
}

// report sends a report and returns the address for the next one, or "" without an acknowledgement.
func (f *fleet) report(w *worker, address string, sequence int) (next string) {
	f.mu.Lock()
	kind, bootedAt := w.kind, w.bootedAt
	f.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": workerMilliCPU, "memMb": workerMemoryMB, "gpu": 0}, "labels": []string{kind, "r1"},
		"clockMs": time.Since(bootedAt).Milliseconds(), "sequence": sequence, "born": bootedAt.UnixMilli(),
	})
	if err != nil {
		return ""
	}
	response, err := f.client.Post("http://"+address+"/godwitlink/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var got struct {
		Next string `json:"heartbeatAddr"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&got) != nil {
		return ""
	}
	if got.Next == "" {
		return address
	}
	return got.Next
}
