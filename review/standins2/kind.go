package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// restartTime is the time from the crash of a worker until it answers again.
	restartTime = 40 * time.Millisecond
	// startsBeforeCrash is the number of starts that a worker answers before it crashes.
	startsBeforeCrash = 10
	labelledTasks     = 100
)

// playOtherKind hands in a job whose tasks need a label. The worker that is told to start them crashes after
// some starts and starts again at once, under its id and at its address, as one of another kind.
func playOtherKind(o options, r *record) error {
	if err := configure(o, r, configTimeout); err != nil {
		return err
	}
	f, err := startFleet(o, r, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	time.Sleep(2 * heartbeatInterval)
	if o.trouble {
		starts, crashed := 0, false
		f.crashing = func(w *worker, request *http.Request) bool {
			if crashed || !strings.HasSuffix(request.URL.Path, "/run-start") {
				return false
			}
			if starts++; starts <= startsBeforeCrash {
				return false
			}
			crashed = true
			go f.restartAs(w, kindB)
			return true
		}
	}
	duration := 1500 * time.Millisecond
	body := encodeJob(duration, map[string]any{"count": labelledTasks, "cpu": 100, "memMb": 64, "estimateMs": duration.Milliseconds(), "requirements": kindA})
	if err := submit(o, r, newJobID(), body); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	wrong := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range f.runs {
		if run.kind != kindA {
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: %d tasks that need label %q began on a worker that has label %q", errBroken, wrong, kindA, kindB)
	}
	return nil
}

// restartAs ends a worker and starts it again, under its id and at its address, as one of a kind.
func (f *fleet) restartAs(w *worker, kind string) {
	_ = w.server.Close()
	f.mu.Lock()
	f.record.log("worker %s crashes", w.id)
	f.endBoot(w)
	f.mu.Unlock()
	time.Sleep(restartTime)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		f.record.log("worker %s cannot start again: %v", w.id, err)
		return
	}
	f.mu.Lock()
	w.bootedAt, w.kind, w.token, w.leaseEnd = time.Now(), kind, 0, time.Time{}
	w.highestRun, w.ends, w.lastEnd = map[string]uint64{}, nil, 0
	w.server = &http.Server{Handler: f.handler(w)}
	f.record.log("worker %s starts again with label %q", w.id, kind)
	f.mu.Unlock()
	_ = w.server.Serve(listener)
}
