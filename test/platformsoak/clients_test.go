package platformsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behaviour of the stand-in clients.
const (
	clientCount   = 6
	clientPause   = 60 * time.Millisecond
	clientTimeout = 3 * time.Second
	clientTries   = 8
	cancelPercent = 8
)

// client submits jobs and keeps using its connections until they end.
type client struct {
	system *system
	jobs   *registry
	http   *http.Client
	random *rand.Rand
	breaks func(format string, args ...any)
}

// runClients submits jobs until stop ends.
func runClients(stop context.Context, s *system, jobs *registry, seed uint64, breaks func(string, ...any)) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range clientCount {
		c := &client{
			system: s, jobs: jobs, breaks: breaks, random: rand.New(rand.NewPCG(seed, uint64(100+i))),
			http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		running.Go(func() {
			for stop.Err() == nil {
				c.job()
				time.Sleep(clientPause)
			}
		})
	}
	return &running
}

// call sends a request through a random entry process. A status of 0 says that
// no whole answer came.
func (c *client) call(method, host, path, body string) (int, []byte) {
	through := c.system.clients[c.random.IntN(len(c.system.clients))]
	request, err := http.NewRequest(method, "http://"+through.address+path, strings.NewReader(body))
	if err != nil {
		c.breaks("client: %v", err)
		return 0, nil
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

func (c *client) job() {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	spec := payload{Ms: 100 + c.random.IntN(900), CPU: int64(500 * (1 + c.random.IntN(6)))}
	host := "h"
	if c.random.IntN(2) == 0 {
		host = "a"
	}
	first := 1 + c.random.IntN(4)
	step := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":256,"estimateMs":%d`, first, spec.CPU, spec.Ms)
	steps := step + "}"
	switch c.random.IntN(4) {
	case 0:
		spec.Gang = first
		steps = step + `,"gang":true}`
	case 1:
		spec.Deps = "0"
		steps = step + "}," + step + `,"dependsOn":[0]}`
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		c.breaks("client: %v", err)
		return
	}
	c.jobs.set(id, func(a *asked) { a.spec, a.firstTasks, a.host = string(encoded), first, host })
	body := fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, encoded, steps)
	if !c.submit(host, id, body) {
		return
	}
	if c.random.IntN(100) < cancelPercent {
		if status, _ := c.call(http.MethodDelete, host, queuePath+id, ""); status == http.StatusOK || status == http.StatusGone {
			c.jobs.set(id, func(a *asked) { a.cancelled = time.Now() })
		} else {
			c.jobs.set(id, func(a *asked) { a.unsure = true })
		}
	}
}

// submit sends a job, again after no answer, and reports whether it is accepted.
func (c *client) submit(host, id, body string) bool {
	rejected := true
	for range clientTries {
		status, _ := c.call(http.MethodPost, host, queuePath+id, body)
		switch status {
		case http.StatusOK:
			c.jobs.set(id, func(a *asked) { a.accepted = time.Now() })
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if rejected {
				c.jobs.set(id, func(a *asked) { a.refused = true })
			}
			return false
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
			rejected = false
		default:
			c.breaks("a job is answered with status %d", status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// settle asks for the accepted jobs until all have ended, and returns those that
// have not.
func (c *client) settle(limit time.Duration, done func(id string, a asked) bool) []string {
	end := time.Now().Add(limit)
	for {
		var open []string
		for id, a := range c.jobs.all() {
			if a.accepted.IsZero() || !a.cancelled.IsZero() || a.unsure || a.state == "completed" {
				continue
			}
			status, content := c.call(http.MethodGet, a.host, queuePath+id, "")
			var answer struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal(content, &answer) == nil {
				c.jobs.set(id, func(a *asked) { a.state = answer.State })
			}
			switch {
			case status == http.StatusGone:
				c.breaks("LOST: %s was accepted and is not known", id)
			case answer.State == "failed" || answer.State == "cancelled":
				c.breaks("LOST: %s is shown as %s", id, answer.State)
			case answer.State == "completed" && !done(id, a):
				c.breaks("MIXED: %s is shown as completed before its tasks are done", id)
			case answer.State != "completed":
				open = append(open, fmt.Sprintf("%s (status %d, %s)", id, status, answer.State))
			}
		}
		if len(open) == 0 || time.Now().After(end) {
			return open
		}
		time.Sleep(200 * time.Millisecond)
	}
}
