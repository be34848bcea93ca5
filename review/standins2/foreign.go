package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	longTask = 9 * time.Second
	// listedTime is the time after which every hold has listed a run that was begun.
	listedTime = 2500 * time.Millisecond
)

// playForeignReport sends a status report of another writer under the id of a worker that runs a task. The
// report lacks four fields, and one has another type, so it names no worker to use.
func playForeignReport(o options, r *record) error {
	if err := configure(o, r, configTimeout); err != nil {
		return err
	}
	f, err := startFleet(o, r, 4)
	if err != nil {
		return err
	}
	defer f.stop()
	time.Sleep(2 * heartbeatInterval)
	id := newJobID()
	if err := submit(o, r, id, jobBody(1, longTask)); err != nil {
		return err
	}
	w, err := f.awaitStart(id, 2*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(listedTime)
	if o.trouble {
		if err := f.sendForeignReport(o, w); err != nil {
			return err
		}
	}
	time.Sleep(longTask)
	if err := f.recordUsableWorkers(o); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if first, second := f.overlap(); first != nil {
		return fmt.Errorf("%w: TWICE: %s ran as run %d on %s and as run %d on %s at the same time, both workers up", errBroken, first.task, first.run, first.worker.id, second.run, second.worker.id)
	}
	return nil
}

// recordUsableWorkers hands in a job with a task for each worker, of which no worker has room for two, and
// records where its tasks have run. It does not affect the verdict.
func (f *fleet) recordUsableWorkers(o options) error {
	id := newJobID()
	body := jobBodyOf(len(f.workers), workerMilliCPU*2/3, time.Second)
	if err := submit(o, f.record, id, body); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := map[string]int{}
	for _, run := range f.runs {
		if strings.HasPrefix(run.task, id) {
			tasks[run.worker.id]++
		}
	}
	for _, w := range f.workers {
		f.record.log("worker %s, which is up and reports, has got %d tasks of the last job", w.id, tasks[w.id])
	}
	return nil
}

func (f *fleet) sendForeignReport(o options, w *worker) error {
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "state": "ready", "slots": "eight",
		"capacity": map[string]int64{"cpu": workerMilliCPU, "memMb": workerMemoryMB, "gpu": 0}, "labels": []string{"a", "r1"},
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	response, err := f.client.Post("http://"+o.controls[0]+"/godwitlink/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	f.record.log("report of another writer: %s, answered with %s (%d)", body, http.StatusText(response.StatusCode), response.StatusCode)
	return nil
}

// overlap returns two runs of one task that were active at the same time, or nil.
func (f *fleet) overlap() (first, second *taskRun) {
	for i, a := range f.runs {
		for _, b := range f.runs[i+1:] {
			if a.task == b.task && (a.endedAt.IsZero() || a.endedAt.After(b.startedAt)) {
				f.record.log("run %d of %s on %s began %.3f s before run %d on %s ended (%s)", b.run, b.task, b.worker.id, a.endedAt.Sub(b.startedAt).Seconds(), a.run, a.worker.id, a.how)
				return a, b
			}
		}
	}
	return nil, nil
}
