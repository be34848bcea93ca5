package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behaviour of the workers.
const (
	reportInterval = 1500 * time.Millisecond
	maxLease       = 6 * time.Second
	callTimeout    = time.Second
	workerMilliCPU = 64_000
	workerMemoryMB = 131_072
	stopDuration   = 100 * time.Millisecond
	maxListedEnds  = 500
	serviceName    = "turnos"
)

type runKey struct {
	task string
	run  uint64
}

type taskRun struct {
	runKey
	endsAt time.Time
	stopAt time.Time // zero unless it is being stopped
	stuck  bool      // never ends by itself
	began  time.Time
}

type endedRun struct {
	number uint64
	run    runKey
	how    string
}

// worker is a stand-in of a worker that follows PROTOCOL.md: leases, fencing, numbered ends.
type worker struct {
	cell    *cell
	id      string
	address string

	mu       sync.Mutex
	born     time.Time
	sequence int
	fence    uint64
	lease    time.Time
	runs     map[runKey]*taskRun
	closed   map[string]uint64 // highest run of a task that was stopped or has ended here
	ends     []endedRun
	lastEnd  uint64
	waiting  []chan struct{}
	server   *http.Server
	draining time.Time // when it began to drain; zero otherwise
	drainFor time.Duration
	acked    time.Time // when a draining report was acknowledged
	// cut is set while no message passes between the worker and the system.
	cut bool
	// unansweredStarts of lateJob are kept and not answered. An order without an answer may be carried out
	// seconds later.
	lateJob          string
	unansweredStarts []workerCall
	// firstUnansweredAt is when the first of these starts arrived.
	firstUnansweredAt time.Time
}

func newWorker(c *cell, i int) (*worker, error) {
	w := &worker{cell: c, id: fmt.Sprintf("i-%08x", i+1), address: fmt.Sprintf("%s:%d", c.standinIP(), portWorkers+i)}
	w.reset()
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.report()
	go w.tick()
	return w, nil
}

func (w *worker) reset() {
	w.born = time.Now()
	w.runs, w.closed = map[runKey]*taskRun{}, map[string]uint64{}
	w.ends, w.lastEnd, w.fence, w.lease, w.sequence = nil, 0, 0, time.Time{}, 0
}

// clock returns the time on the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) tick() {
	for !w.cell.ended() {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance ends the runs whose time has come.
func (w *worker) advance(now time.Time) {
	for _, r := range w.runs {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case now.After(w.lease):
			w.end(r, "lapsed")
		case !r.stuck && !now.Before(r.endsAt):
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.runKey)
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.runKey, how})
	for _, wake := range w.waiting {
		close(wake)
	}
	w.waiting = nil
	w.cell.runEnded(w, r, how)
}

type workerCall struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP implements the calls of PROTOCOL.md, "Running tasks".
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.keepsBack(r.URL.Path, call) {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	wait := w.waitFor(r.URL.Path, call)
	w.mu.Unlock()
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(time.Duration(call.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status, body := w.handle(r.URL.Path, call)
	body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	encoded, err := json.Marshal(body)
	w.mu.Unlock()
	if err != nil {
		status = http.StatusInternalServerError
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(encoded)
}

// keepsBack reports whether a call gets no answer.
func (w *worker) keepsBack(path string, call workerCall) bool {
	if w.cut {
		return true
	}
	if path != "/godwitlink/run-start" || w.lateJob == "" || !strings.HasPrefix(call.Task, w.lateJob+".") {
		return false
	}
	if len(w.unansweredStarts) == 0 {
		w.firstUnansweredAt = time.Now()
	}
	w.unansweredStarts = append(w.unansweredStarts, call)
	w.cell.log("%s leaves the start of run %d of %s unanswered, its token is %d", w.id, call.RunID, call.Task, call.FencingToken)
	return true
}

// restart ends the worker and starts it again under its id. It then knows nothing of before.
func (w *worker) restart() {
	for _, r := range w.runs {
		w.cell.runEnded(w, r, "crashed")
	}
	w.reset()
	w.cell.log("%s has started again, born %d", w.id, w.born.UnixMilli())
}

// waitFor returns a channel if a hold has to wait for an end. The hold itself takes effect at once.
func (w *worker) waitFor(path string, call workerCall) chan struct{} {
	if path != "/godwitlink/hold" || call.WaitMs <= 0 || call.FencingToken < w.fence {
		return nil
	}
	if _, body := w.handle(path, call); len(body["finished"].([][]any)) > 0 {
		return nil
	}
	wake := make(chan struct{})
	w.waiting = append(w.waiting, wake)
	return wake
}

func (w *worker) extend(untilMs int64) {
	if untilMs <= 0 {
		return
	}
	until := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) handle(path string, call workerCall) (int, map[string]any) {
	now := time.Now()
	w.advance(now)
	if call.FencingToken < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = call.FencingToken
	switch path {
	case "/godwitlink/hold":
		w.extend(call.UntilMs)
		return http.StatusOK, w.lists(call.LastSeen)
	case "/godwitlink/run-start":
		return w.start(call, now)
	case "/godwitlink/run-stop":
		w.closed[call.Task] = max(w.closed[call.Task], call.RunID)
		if r := w.runs[runKey{call.Task, call.RunID}]; r != nil && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopDuration)
		}
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) lists(lastSeen uint64) map[string]any {
	active, finished := [][]any{}, [][]any{}
	for key := range w.runs {
		active = append(active, []any{key.task, key.run, "", 50, 0})
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > lastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.run, e.how, ""})
	}
	return map[string]any{"active": active, "finished": finished}
}

func (w *worker) start(call workerCall, now time.Time) (int, map[string]any) {
	key := runKey{call.Task, call.RunID}
	if w.runs[key] != nil || call.RunID <= w.closed[call.Task] {
		w.extend(call.UntilMs)
		if w.runs[key] != nil {
			return http.StatusOK, map[string]any{}
		}
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	w.extend(call.UntilMs)
	if now.After(w.lease) {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r := &taskRun{runKey: key, began: now}
	w.cell.runStarted(w, r, call.Spec)
	w.runs[key] = r
	return http.StatusOK, map[string]any{}
}

// report sends the status reports of the worker.
func (w *worker) report() {
	address := ""
	for i := 0; !w.cell.ended(); i++ {
		w.mu.Lock()
		w.sequence++
		message := map[string]any{
			"service": serviceName, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": workerMilliCPU, "memMb": workerMemoryMB, "gpu": 0}, "labels": []string{"a", "r1"},
			"clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		}
		if !w.draining.IsZero() {
			message["state"] = "draining"
			message["drainRemainingMs"] = max(0, (w.drainFor - time.Since(w.draining)).Milliseconds())
		}
		cut := w.cut
		w.mu.Unlock()
		if cut {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if address == "" {
			address = w.cell.controlAddress(i)
		}
		var answer struct {
			Next string `json:"heartbeatAddr"`
		}
		status, body, err := w.cell.post(w.cell.reportClient, "http://"+address+"/godwitlink/Instances.Heartbeat/"+w.id, message)
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
			address = ""
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if answer.Next != "" {
			address = answer.Next
		}
		if message["state"] == "draining" {
			w.mu.Lock()
			if w.acked.IsZero() {
				w.acked = time.Now()
			}
			w.mu.Unlock()
		}
		time.Sleep(reportInterval)
	}
}
