package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// jobPrefix and jobHost select the queue of the clients.
const (
	jobPrefix = "/lohu930/"
	jobHost   = "nony24.example"
)

// job is a job as its client knows it.
type job struct {
	id        string
	spec      string
	steps     int // 0 stands for 1
	tasks     int // of each step
	taskTime  time.Duration
	accepted  time.Time
	rejected  int
	unknown   int
	doneTasks map[string]time.Time
}

// cell has the stand-ins of one run and what they have seen.
type cell struct {
	deployment
	stopped      atomic.Bool
	started      time.Time
	record       *os.File
	recordMu     sync.Mutex
	reportClient *http.Client
	client       *http.Client
	workers      []*worker

	mu     sync.Mutex
	jobs   map[string]*job
	broken []string
	notRun string
	counts map[string]int
	active map[string]map[string]uint64 // by task and worker: the run that is active there
}

func newCell(d deployment) (*cell, error) {
	record, err := os.Create(d.recordFile)
	if err != nil {
		return nil, err
	}
	transport := func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	}
	return &cell{
		deployment: d, started: time.Now(), record: record, jobs: map[string]*job{}, counts: map[string]int{}, active: map[string]map[string]uint64{},
		reportClient: &http.Client{Transport: transport(), Timeout: callTimeout},
		client:       &http.Client{Transport: transport()},
	}, nil
}

func (c *cell) ended() bool { return c.stopped.Load() }

func (c *cell) close() { c.stopped.Store(true) }

// log writes a line to the record.
func (c *cell) log(format string, args ...any) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that the rule was broken.
func (c *cell) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.log("BROKEN %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// giveUp notes that the case could not run.
func (c *cell) giveUp(format string, args ...any) {
	c.notRun = fmt.Sprintf(format, args...)
	c.log("NOT RUN %s", c.notRun)
}

// finish returns the exit status.
func (c *cell) finish() int {
	c.stopped.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Println("counts", c.counts)
	switch {
	case len(c.broken) > 0:
		fmt.Println("broken:", strings.Join(c.broken[:min(len(c.broken), 5)], "\n"))
		return exitBroken
	case c.notRun != "":
		fmt.Println("not run:", c.notRun)
		return exitNotRun
	}
	fmt.Println("held")
	return exitHeld
}

func (c *cell) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (c *cell) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.controlIP(i%(c.controls+c.spares)), portControl)
}

func (c *cell) startWorkers(n int) error {
	for i := range n {
		w, err := newWorker(c, i)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	return nil
}

// post sends a JSON message and returns the whole answer.
func (c *cell) post(client *http.Client, url string, message any) (int, []byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, nil, err
	}
	answer, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	return answer.StatusCode, got, err
}

// applyConfig sends a configuration to the control processes in turn until it is acknowledged.
func (c *cell) applyConfig(version int, timeout time.Duration) bool {
	config := configuration(version, routesAtFirst)
	for i, deadline := 0, time.Now().Add(timeout); time.Now().Before(deadline); i++ {
		status, _, err := c.post(c.reportClient, "http://"+c.controlAddress(i)+"/godwitlink/Config.Replace", config)
		if err == nil && status == http.StatusOK {
			c.log("configuration %d acknowledged", version)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// entriesReady waits until all entry processes are ready.
func (c *cell) entriesReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for i := 0; i < c.entries; {
		answer, err := c.reportClient.Get(fmt.Sprintf("http://%s:%d/godwitlink/readyz", c.entryIP(i), portReady))
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				i++
				continue
			}
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// begin starts workers, applies the configuration and waits until the system takes jobs.
func (c *cell) begin(workers int) bool {
	if err := c.startWorkers(workers); err != nil {
		c.giveUp("workers: %v", err)
		return false
	}
	if !c.applyConfig(1, 15*time.Second) || !c.entriesReady(10*time.Second) {
		c.giveUp("the system did not become ready")
		return false
	}
	time.Sleep(2 * time.Second)
	return true
}

// request sends a client's request to an entry process and returns the status, 0 without an answer.
func (c *cell) request(entry int, method, id string, body []byte, timeout time.Duration) (int, []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", c.entryIP(entry), portClients, jobPrefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = jobHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *c.client
	client.Timeout = timeout
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, got
}

// stepList returns the steps of a job, which do not depend on each other.
func (j *job) stepList(milliCPU int) (list []any) {
	for range max(j.steps, 1) {
		list = append(list, map[string]any{"count": j.tasks, "cpu": milliCPU, "memMb": 512, "estimateMs": j.taskTime.Milliseconds()})
	}
	return list
}

// submit hands a job in, with up to 4 retries as the clients of the site do, and reports whether it
// was accepted.
func (c *cell) submit(j *job, milliCPU int) bool {
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.stepList(milliCPU)})
	if err != nil {
		return false
	}
	for attempt := range 5 {
		entry := rand.IntN(c.entries)
		status, _ := c.request(entry, http.MethodPost, j.id, body, 3*time.Second)
		c.log("job %s, attempt %d to entry-%d: status %d", j.id, attempt+1, entry, status)
		c.count(fmt.Sprintf("submit %d", status))
		c.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			j.accepted = time.Now()
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			j.rejected++
		default:
			j.unknown++
		}
		accepted := !j.accepted.IsZero()
		c.mu.Unlock()
		if accepted {
			return true
		}
		time.Sleep(time.Duration(attempt+1) * 200 * time.Millisecond)
	}
	return false
}

// runStarted is called by a worker that begins a run.
func (c *cell) runStarted(w *worker, r *taskRun, spec string) {
	c.log("%s begins run %d of %s", w.id, r.run, r.task)
	id, _, _ := strings.Cut(r.task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["started"]++
	j := c.jobs[id]
	if j == nil || j.spec != spec {
		c.broken = append(c.broken, "UNASKED "+r.task)
		return
	}
	if _, done := j.doneTasks[r.task]; done {
		c.counts["started after done"]++
	}
	r.endsAt = time.Now().Add(j.taskTime)
	for other, run := range c.active[r.task] {
		text := fmt.Sprintf("TWICE: run %d of %s begins on %s while run %d is active on %s", r.run, r.task, w.id, run, other)
		c.log("BROKEN %s", text)
		c.broken = append(c.broken, text)
	}
	if c.active[r.task] == nil {
		c.active[r.task] = map[string]uint64{}
	}
	c.active[r.task][w.id] = r.run
}

// runEnded is called by a worker when a run has ended.
func (c *cell) runEnded(w *worker, r *taskRun, how string) {
	c.log("%s ends run %d of %s: %s", w.id, r.run, r.task, how)
	id, _, _ := strings.Cut(r.task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[how]++
	delete(c.active[r.task], w.id)
	if j := c.jobs[id]; j != nil && how == "done" {
		if j.doneTasks == nil {
			j.doneTasks = map[string]time.Time{}
		}
		j.doneTasks[r.task] = time.Now()
	}
}

// jobState asks for the state of a job; the status is 0 without an answer.
func (c *cell) jobState(id string, timeout time.Duration) (int, string) {
	status, body := c.request(rand.IntN(c.entries), http.MethodGet, id, nil, timeout)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &answer) != nil {
		return 0, ""
	}
	return status, answer.State
}
