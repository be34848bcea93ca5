package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Doses of the configuration changes, as the site aelc-turnos gives them: three times big_config with
// 350 routes, and config_storm with a change each 296 ms.
const (
	routesAtFirst  = 11
	routesAdded    = 3 * 350
	changeInterval = 296 * time.Millisecond
	changeCount    = 200
	jobInterval    = 500 * time.Millisecond
	// ackTimeout ends the changes when none is acknowledged any more.
	ackTimeout = 8 * time.Second
	// finishTime is finish_s of the site: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// contactTime is contactMs of the site: how long the operator asks for the configuration at the end.
	contactTime    = 3 * time.Second
	requestTimeout = 3 * time.Second
)

// configuration returns a configuration with a number of routes of one service.
func configuration(version, routes int) map[string]any {
	list := []any{}
	for i := range routes {
		prefix, name := fmt.Sprintf("/p%06d/", i), fmt.Sprintf("r-%07d", i)
		if i == 0 {
			prefix, name = jobPrefix, "r-3hwrr6x"
		}
		list = append(list, map[string]any{
			"name": name, "host": jobHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 400,
			"priority": 0, "service": serviceName, "maxAttempts": 3, "slackFactor": 2.2,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// configsScenario (review/1) changes the configuration many times while a client hands in small jobs. Without
// trouble, the configuration has few routes.
func configsScenario(c *cell) {
	if !c.begin(4) {
		return
	}
	routes := routesAtFirst
	if c.trouble {
		routes += routesAdded
	}
	trafficEnded := make(chan struct{})
	go c.submitUntil(trafficEnded)
	newest := c.changeConfiguration(routes, changeCount)
	close(trafficEnded)
	c.log("newest acknowledged version: %d", newest)
	time.Sleep(finishTime)
	c.checkJobs()
	c.checkConfiguration(newest)
}

// submitUntil hands in a job of two short tasks each jobInterval.
func (c *cell) submitUntil(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(jobInterval):
			j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "spec", tasks: 2, taskTime: 300 * time.Millisecond}
			go c.submit(j, 1000)
		}
	}
}

// changeConfiguration sends changes one after the other, each to the next control process until one
// acknowledges it. It returns the newest acknowledged version.
func (c *cell) changeConfiguration(routes, changes int) (newest int) {
	began, lastAck := time.Now(), time.Now()
	newest = 1
	for version := 2; version < 2+changes; version++ {
		time.Sleep(time.Until(began.Add(time.Duration(version-2) * changeInterval)))
		body := configuration(version, routes)
		for i := version; newest < version; i++ {
			status, _, err := c.post(c.reportClient, "http://"+c.controlAddress(i)+"/godwitlink/Config.Replace", body)
			c.count(fmt.Sprintf("replace %d", status))
			if err == nil && status == http.StatusOK {
				newest, lastAck = version, time.Now()
				c.log("configuration %d acknowledged by %s", version, c.controlAddress(i))
				break
			}
			c.log("configuration %d: status %d from %s", version, status, c.controlAddress(i))
			if time.Since(lastAck) > ackTimeout {
				return newest
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return newest
}

// checkJobs asks for each accepted job, as RULES.md says under LOST: one that gets no answer in time, or
// is not known, is lost.
func (c *cell) checkJobs() {
	var accepted []string
	c.mu.Lock()
	for id, j := range c.jobs {
		if !j.accepted.IsZero() {
			accepted = append(accepted, id)
		}
	}
	c.mu.Unlock()
	states := make(chan string, len(accepted))
	for _, id := range accepted {
		go func() { states <- c.finalState(id) }()
	}
	outcomes := map[string]int{}
	for range accepted {
		outcomes[<-states]++
	}
	c.log("%d accepted jobs at the end: %v", len(accepted), outcomes)
	fmt.Println(len(accepted), "accepted jobs at the end:", outcomes)
	if lost := outcomes["no answer"] + outcomes["not known"]; lost > 0 {
		c.breach("LOST: %d of %d accepted jobs get no answer in time, or are not known", lost, len(accepted))
	}
	if len(accepted) == 0 {
		c.giveUp("no job was accepted")
	}
}

// finalState asks several entry processes for the state of a job.
func (c *cell) finalState(id string) string {
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, state := c.jobState(id, requestTimeout)
		switch status {
		case http.StatusOK:
			return state
		case http.StatusGone:
			return "not known"
		}
		c.log("state of %s: status %d", id, status)
	}
	return "no answer"
}

// checkConfiguration reads the configuration back, as RULES.md says under CONFIG.
func (c *cell) checkConfiguration(newest int) {
	for i, deadline := 0, time.Now().Add(contactTime); time.Now().Before(deadline); i++ {
		answer, err := c.reportClient.Get("http://" + c.controlAddress(i) + "/godwitlink/Config.Read")
		if err == nil {
			var got struct {
				Version int `json:"version"`
			}
			err = json.NewDecoder(answer.Body).Decode(&got)
			answer.Body.Close()
			c.count(fmt.Sprintf("read %d", answer.StatusCode))
			if answer.StatusCode == http.StatusOK && err == nil {
				if got.Version < newest {
					c.breach("CONFIG: version %d is read back, version %d was acknowledged", got.Version, newest)
				}
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.breach("CONFIG: the configuration does not come back for %v; version %d was acknowledged", contactTime, newest)
}
