package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	queueHost       = "h1.example"
	queuePrefix     = "/q1/"
	clientTimeLimit = 3 * time.Second // X-Deadline-Ms and timeoutMs
	retryPause      = 50 * time.Millisecond
	configTimeout   = 20 * time.Second
)

// configuration is version 1: one queue without advice.
const configuration = `{"version":1,"routes":[{"name":"r-1","host":"` + queueHost + `","pathPrefix":"` + queuePrefix + `","kind":"non_idempotent",` +
	`"timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":"` + serviceName + `","maxAttempts":3,"slackFactor":1.5}],` +
	`"services":[{"name":"` + serviceName + `","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":false,"standby":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// configure sends the first configuration to the control replicas in turn until one acknowledges it.
func configure(o options, r *record, limit time.Duration) error {
	client := newClient()
	began := time.Now()
	last := errors.New("not sent")
	for time.Since(began) < limit {
		address := o.controls[rand.IntN(len(o.controls))]
		response, err := client.Post("http://"+address+"/godwitlink/Config.Replace", "application/json", bytes.NewReader([]byte(configuration)))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.log("configuration 1 acknowledged by %s after %.3f s", address, time.Since(began).Seconds())
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		if err.Error() != last.Error() {
			r.log("configuration 1 not acknowledged by %s: %v", address, err)
		}
		last = err
		time.Sleep(retryPause)
	}
	return fmt.Errorf("the configuration was not acknowledged for %v: %w", limit, last)
}

// call sends a client's request to an entry process and returns the status and the body.
func call(method, entry, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeLimit.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	var got bytes.Buffer
	if _, err := got.ReadFrom(response.Body); err != nil {
		return 0, nil, err
	}
	return response.StatusCode, got.Bytes(), nil
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const smallMilliCPU = 1000

// jobBody is a job of one step with small tasks.
func jobBody(tasks int, duration time.Duration) []byte {
	return jobBodyOf(tasks, smallMilliCPU, duration)
}

func jobBodyOf(tasks, milliCPU int, duration time.Duration) []byte {
	return encodeJob(duration, map[string]any{"count": tasks, "cpu": milliCPU, "memMb": 512, "estimateMs": duration.Milliseconds()})
}

// encodeJob returns a job of one step.
func encodeJob(duration time.Duration, step map[string]any) []byte {
	body, err := json.Marshal(map[string]any{"spec": duration.String(), "steps": []map[string]any{step}})
	if err != nil {
		panic(err) // cannot happen: the message has no value that JSON lacks
	}
	return body
}

// submit hands a job in until it is accepted, at another entry process after each failure.
func submit(o options, r *record, id string, body []byte) error {
	for attempt := range 20 {
		entry := o.entries[attempt%len(o.entries)]
		status, _, err := call(http.MethodPost, entry, queuePrefix+id, body)
		if err == nil && status/100 == 2 {
			r.log("job %s accepted by %s (%d)", id, entry, status)
			return nil
		}
		r.log("job %s not accepted by %s: status %d, %v", id, entry, status, err)
		time.Sleep(retryPause)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// jobState returns the state that an entry process shows.
func jobState(o options, id string) string {
	for _, entry := range o.entries {
		status, body, err := call(http.MethodGet, entry, queuePrefix+id, nil)
		if err != nil {
			continue
		}
		var got struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &got) == nil {
			return got.State
		}
		return fmt.Sprint(status)
	}
	return "no answer"
}
