package platformsoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Rules of the stand-in workers.
const (
	beatEvery    = 500 * time.Millisecond
	callLimit    = time.Second
	maxLease     = 6 * time.Second
	gangWait     = 3 * time.Second
	fleetTick    = 20 * time.Millisecond
	workerMilli  = 16_000
	workerMemMB  = 32_768
	cancelBound  = 3 * time.Second
	fleetService = "shop"
)

// payload tells a stand-in how a task behaves.
type payload struct {
	Ms   int    `json:"ms"`
	Gang int    `json:"gang"` // members; 0 for none
	CPU  int64  `json:"cpu"`
	Deps string `json:"deps"` // "0" where step 1 depends on step 0
}

// run is a task that a stand-in worker runs.
type fleetRun struct {
	task    string
	number  uint64
	spec    payload
	begun   time.Time // zero while a gang waits
	arrived time.Time
}

// fleetWorker is one boot of a worker.
type fleetWorker struct {
	id, address string
	born        time.Time
	up          bool
	draining    bool
	token       uint64
	until       time.Time
	runs        map[string]*fleetRun
	closed      map[string]uint64
	ends        [][]any
	lastEnd     uint64
	lapsed      uint64 // ends up to this number were listed when the lease ran out
	sequence    int
	waiters     []chan struct{}
	faulty      bool // leaves calls without an answer
	rejecting   bool // carries out half of the starts without an answer, and rejects the others
}

// fleet owns the state of all stand-in workers. Handlers pass closures to its
// task and wait for them.
type fleet struct {
	ops     chan func()
	closed  chan struct{}
	workers []*fleetWorker
	byID    map[string]*fleetWorker
	jobs    *registry
	control func() []string // addresses for status reports
	http    *http.Client

	running map[string]string // task to worker
	ended   map[string]bool   // task ended done and the end was noted
	done    map[string]bool   // task ended done, also on a worker that crashed afterwards
	broken  []string
	counts  map[string]int
}

func newFleet(t *testing.T, n int, jobs *registry, control func() []string) *fleet {
	f := &fleet{
		ops: make(chan func()), closed: make(chan struct{}), jobs: jobs, control: control,
		byID: map[string]*fleetWorker{}, running: map[string]string{}, ended: map[string]bool{}, done: map[string]bool{},
		counts: map[string]int{},
		http:   newHTTPClient(),
	}
	for i := range n {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w := &fleetWorker{id: fmt.Sprintf("i-%04d", i), address: socket.Addr().String()}
		f.workers = append(f.workers, w)
		f.byID[w.id] = w
		server := &http.Server{Handler: f.handler(w)}
		go server.Serve(socket)
		t.Cleanup(func() { server.Close() })
	}
	go f.run()
	t.Cleanup(func() { close(f.closed) })
	for _, w := range f.workers {
		f.do(func() { w.boot() })
		go f.beat(w)
	}
	return f
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: callLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// do runs an operation in the fleet's task and waits for it.
func (f *fleet) do(op func()) {
	finished := make(chan struct{})
	select {
	case f.ops <- func() { op(); close(finished) }:
		<-finished
	case <-f.closed:
	}
}

func (f *fleet) run() {
	tick := time.NewTicker(fleetTick)
	defer tick.Stop()
	for {
		select {
		case op := <-f.ops:
			op()
		case <-tick.C:
			for _, w := range f.workers {
				f.advance(w, time.Now())
			}
		case <-f.closed:
			return
		}
	}
}

func (w *fleetWorker) boot() {
	w.born, w.up, w.draining = time.Now(), true, false
	w.token, w.until, w.lastEnd, w.lapsed, w.sequence = 0, time.Time{}, 0, 0, 0
	w.runs, w.closed, w.ends = map[string]*fleetRun{}, map[string]uint64{}, nil
}

// crash ends a worker with all it runs.
func (f *fleet) crash(w *fleetWorker) {
	lost := w.runs
	w.up, w.runs = false, map[string]*fleetRun{}
	for task, r := range lost {
		if f.running[task] == w.id {
			delete(f.running, task)
		}
		if r.spec.Gang > 0 && !r.begun.IsZero() {
			f.endMembers(task, r, "broken")
		}
	}
	w.wakeWaiters()
}

func (w *fleetWorker) wakeWaiters() {
	for _, waiter := range w.waiters {
		close(waiter)
	}
	w.waiters = nil
}

func (f *fleet) breaks(format string, args ...any) {
	if len(f.broken) < 50 {
		f.broken = append(f.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// advance lets time pass on a worker.
func (f *fleet) advance(w *fleetWorker, now time.Time) {
	if !w.up {
		return
	}
	if now.After(w.until) {
		w.lapsed = w.lastEnd
	}
	for task, r := range w.runs {
		switch {
		case now.After(w.until):
			f.end(w, task, "lapsed")
		case r.spec.Gang > 0 && r.begun.IsZero() && f.gangHere(task, r, now):
		case r.spec.Gang > 0 && r.begun.IsZero() && now.Sub(r.arrived) > gangWait:
			f.end(w, task, "alone")
		case !r.begun.IsZero() && now.Sub(r.begun) >= time.Duration(r.spec.Ms)*time.Millisecond:
			f.end(w, task, "done")
		}
	}
}

// gangHere begins the work of a gang whose members are all present.
func (f *fleet) gangHere(task string, r *fleetRun, now time.Time) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	var members []*fleetRun
	for i := range r.spec.Gang {
		name := step + "." + strconv.Itoa(i)
		w := f.byID[f.running[name]]
		if w == nil || w.runs[name] == nil || w.runs[name].number != r.number {
			return false
		}
		members = append(members, w.runs[name])
	}
	for _, member := range members {
		member.begun = now
	}
	return true
}

func (f *fleet) end(w *fleetWorker, task, how string) {
	r := w.runs[task]
	if r == nil {
		return
	}
	f.counts[how]++
	if how == "done" {
		f.done[task] = true
	}
	delete(w.runs, task)
	if f.running[task] == w.id {
		delete(f.running, task)
	}
	w.closed[task] = max(w.closed[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, task, r.number, how, ""})
	w.wakeWaiters()
	if r.spec.Gang == 0 || r.begun.IsZero() {
		return
	}
	others := "broken"
	if how == "done" {
		others = "done"
	}
	f.endMembers(task, r, others)
}

// endMembers ends the other members of a gang run: they end together.
func (f *fleet) endMembers(task string, r *fleetRun, others string) {
	step := task[:strings.LastIndexByte(task, '.')]
	for i := range r.spec.Gang {
		name := step + "." + strconv.Itoa(i)
		if other := f.byID[f.running[name]]; other != nil && other.runs[name] != nil && other.runs[name].number == r.number {
			f.end(other, name, others)
		}
	}
}

// message is any call to a worker.
type message struct {
	Task   string `json:"task"`
	Run    uint64 `json:"runId"`
	Spec   string `json:"spec"`
	Until  int64  `json:"untilMs"`
	Token  uint64 `json:"fencingToken"`
	Seen   uint64 `json:"lastSeen"`
	WaitMs int64  `json:"waitMs"`
	Ticket string `json:"ticket"`
}

func (f *fleet) handler(w *fleetWorker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var m message
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		var status int
		var body map[string]any
		silent := false
		late := false
		var waiter chan struct{}
		f.do(func() {
			silent = !w.up || w.faulty
			if start := r.URL.Path == "/godwitlink/run-start"; w.rejecting && start && !silent {
				if status = http.StatusServiceUnavailable; rand.IntN(2) == 0 {
					f.serve(w, r, m)
					silent = true
				}
				return
			}
			late = w.faulty && w.up && r.URL.Path == "/godwitlink/run-start"
			if silent {
				return
			}
			status, body, waiter = f.serve(w, r, m)
		})
		if late {
			// Carried out late, without an answer.
			time.AfterFunc(time.Duration(500+rand.IntN(2000))*time.Millisecond, func() {
				f.do(func() {
					if w.up {
						f.serve(w, r, m)
					}
				})
			})
		}
		if silent {
			panic(http.ErrAbortHandler)
		}
		if waiter != nil {
			select {
			case <-waiter:
			case <-time.After(time.Duration(m.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			f.do(func() { status, body, _ = f.serve(w, r, message{Token: m.Token, Until: m.Until, Seen: m.Seen}) })
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		json.NewEncoder(rw).Encode(body)
	})
}

// serve carries out a call in the fleet's task.
func (f *fleet) serve(w *fleetWorker, r *http.Request, m message) (int, map[string]any, chan struct{}) {
	now := time.Now()
	clock := func(more map[string]any) map[string]any {
		if more == nil {
			more = map[string]any{}
		}
		more["clockMs"] = now.Sub(w.born).Milliseconds()
		more["born"] = w.born.UnixMilli()
		return more
	}
	if !w.up {
		return http.StatusServiceUnavailable, clock(nil), nil
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		return http.StatusMisdirectedRequest, clock(nil), nil
	}
	if m.Token < w.token {
		return http.StatusConflict, clock(map[string]any{"reason": "fence"}), nil
	}
	w.token = m.Token
	f.advance(w, now)
	until := w.born.Add(time.Duration(m.Until) * time.Millisecond)
	if limit := now.Add(maxLease); until.After(limit) {
		until = limit
	}
	if r.URL.Path != "/godwitlink/run-stop" && until.After(w.until) {
		if !(r.URL.Path == "/godwitlink/run-start" && until.Before(now)) {
			w.until = until
		}
	}
	switch r.URL.Path {
	case "/godwitlink/hold":
		return f.hold(w, m, clock)
	case "/godwitlink/run-start":
		status, reason := f.start(w, m, now, until)
		return status, clock(map[string]any{"reason": reason}), nil
	case "/godwitlink/run-stop":
		w.closed[m.Task] = max(w.closed[m.Task], m.Run)
		if run := w.runs[m.Task]; run != nil && run.number <= m.Run {
			f.end(w, m.Task, "stopped")
		}
		return http.StatusOK, clock(nil), nil
	}
	return http.StatusNotFound, clock(nil), nil
}

func (f *fleet) hold(w *fleetWorker, m message, clock func(map[string]any) map[string]any) (int, map[string]any, chan struct{}) {
	kept := w.ends[:0]
	for _, end := range w.ends {
		if end[0].(uint64) > m.Seen {
			kept = append(kept, end)
			continue
		}
		// An end that was listed while the lease ran out does not count.
		if end[3] == "done" && end[0].(uint64) > w.lapsed {
			f.ended[end[1].(string)] = true
		}
	}
	w.ends = kept
	f.counts["hold"]++
	if m.WaitMs > 0 && len(w.ends) == 0 {
		waiter := make(chan struct{})
		w.waiters = append(w.waiters, waiter)
		return 0, nil, waiter
	}
	active := [][]any{}
	for task, r := range w.runs {
		active = append(active, []any{task, r.number, "", 50, 0})
	}
	ends := append([][]any{}, w.ends...)
	return http.StatusOK, clock(map[string]any{"active": active, "finished": ends}), nil
}

func (f *fleet) start(w *fleetWorker, m message, now, until time.Time) (int, string) {
	if run := w.runs[m.Task]; run != nil && run.number == m.Run {
		return http.StatusOK, ""
	}
	if w.closed[m.Task] >= m.Run {
		return http.StatusConflict, "old"
	}
	if until.Before(now) {
		return http.StatusConflict, "late"
	}
	var spec payload
	if err := json.Unmarshal([]byte(m.Spec), &spec); err != nil {
		f.breaks("UNASKED: %s has the payload %q", m.Task, m.Spec)
		return http.StatusBadRequest, ""
	}
	f.check(w, m, spec, now)
	begun := now
	if spec.Gang > 0 {
		begun = time.Time{}
	}
	w.runs[m.Task] = &fleetRun{task: m.Task, number: m.Run, spec: spec, arrived: now, begun: begun}
	f.running[m.Task] = w.id
	f.counts["start"]++
	f.advance(w, now)
	return http.StatusOK, ""
}

// check compares a start with the promises of the platform's pages.
func (f *fleet) check(w *fleetWorker, m message, spec payload, now time.Time) {
	job, _, _ := strings.Cut(m.Task, ".")
	if other := f.running[m.Task]; other != "" {
		f.breaks("TWICE: %s starts on %s and runs on %s", m.Task, w.id, other)
	}
	if f.ended[m.Task] {
		f.breaks("TWICE: %s starts on %s after its end was noted", m.Task, w.id)
	}
	used := spec.CPU
	for _, r := range w.runs {
		used += r.spec.CPU
	}
	if used > workerMilli {
		f.breaks("LIMIT: %d of %d thousandths on %s with %s", used, workerMilli, w.id, m.Task)
	}
	known := f.jobs.get(job)
	switch {
	case known == nil:
		f.breaks("UNASKED: %s was never submitted", m.Task)
	case known.refused:
		f.breaks("REFUSED: %s starts though its job was refused", m.Task)
	case !known.cancelled.IsZero() && now.Sub(known.cancelled) > cancelBound:
		f.breaks("UNASKED: %s starts %v after the cancel", m.Task, now.Sub(known.cancelled))
	case known.spec != m.Spec:
		f.breaks("UNASKED: %s has another payload", m.Task)
	}
	if known != nil && spec.Deps != "" && strings.HasPrefix(m.Task, job+".0.1.") {
		for i := range known.firstTasks {
			if name := fmt.Sprintf("%s.0.0.%d", job, i); !f.done[name] {
				f.breaks("ORDER: %s starts before %s is done", m.Task, name)
			}
		}
	}
}

// allDone reports whether the tasks of the first step of a job have ended done.
func (f *fleet) allDone(id string, a asked) (done bool) {
	f.do(func() {
		done = true
		for i := range a.firstTasks {
			done = done && f.done[fmt.Sprintf("%s.0.0.%d", id, i)]
		}
	})
	return done
}

// beat sends the status reports of a worker.
func (f *fleet) beat(w *fleetWorker) {
	next := rand.IntN(8)
	address := ""
	for {
		select {
		case <-f.closed:
			return
		case <-time.After(beatEvery):
		}
		var body []byte
		f.do(func() {
			if !w.up {
				return
			}
			w.sequence++
			state := "ready"
			if w.draining {
				state = "draining"
			}
			body, _ = json.Marshal(map[string]any{
				"service": fleetService, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
				"capacity": map[string]int64{"cpu": workerMilli, "memMb": workerMemMB, "gpu": 0}, "labels": []string{"a", "r1"},
				"clockMs": time.Since(w.born).Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
			})
		})
		if body == nil {
			continue
		}
		all := f.control()
		if address == "" {
			address = all[next%len(all)]
			next++
		}
		response, err := f.http.Post("http://"+address+"/godwitlink/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			address = ""
			continue
		}
		var answer struct {
			Next string `json:"heartbeatAddr"`
		}
		if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
			address = ""
		} else if answer.Next != "" {
			address = answer.Next
		}
		response.Body.Close()
	}
}

// registry is what the clients have asked for. It is used by clients and by the
// fleet.
type registry struct {
	mu   sync.Mutex
	jobs map[string]*asked
}

// asked is a job as its client knows it.
type asked struct {
	spec       string
	firstTasks int
	accepted   time.Time
	refused    bool
	cancelled  time.Time
	unsure     bool // a cancel got no answer
	host       string
	state      string
}

func newRegistry() *registry { return &registry{jobs: map[string]*asked{}} }

func (r *registry) get(id string) *asked {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.jobs[id]; known != nil {
		copied := *known
		return &copied
	}
	return nil
}

// all returns a copy of all jobs.
func (r *registry) all() map[string]asked {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make(map[string]asked, len(r.jobs))
	for id, a := range r.jobs {
		copied[id] = *a
	}
	return copied
}

func (r *registry) set(id string, change func(*asked)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[id] == nil {
		r.jobs[id] = &asked{}
	}
	change(r.jobs[id])
}
