package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	recoveryTime  = 12 * time.Second // recoveryS
	recoveryLimit = 2 * recoveryTime // the recovery and as much again
)

// playAccept has the configuration and a job accepted, and waits until the job is completed.
func playAccept(o options, r *record) error {
	if err := configure(o, r, configTimeout); err != nil {
		return err
	}
	f, err := startFleet(o, r, 4)
	if err != nil {
		return err
	}
	defer f.stop()
	time.Sleep(heartbeatInterval)
	if err := submit(o, r, o.job, jobBody(1, time.Second)); err != nil {
		return err
	}
	for range 100 {
		if jobState(o, o.job) == "completed" {
			r.log("job %s is shown as completed", o.job)
			return nil
		}
		time.Sleep(2 * retryPause)
	}
	return errors.New("the job was not completed")
}

// playRecover judges whether the configuration and the job that were acknowledged can be read within
// recoveryS after the machines are back.
func playRecover(o options, r *record) error {
	began := time.Now()
	last := ""
	for time.Since(began) < recoveryLimit {
		version, state := readVersion(o), jobState(o, o.job)
		now := fmt.Sprintf("configuration read: %s; job %s: %s", version, o.job, state)
		if now != last {
			r.log("%.1f s after the last event: %s", time.Since(began).Seconds(), now)
			last = now
		}
		if strings.HasPrefix(version, "200 version 1") && state == "completed" {
			return nil
		}
		time.Sleep(10 * retryPause)
	}
	return fmt.Errorf("%w: LOST: what was acknowledged cannot be read %v after the last event: %s", errBroken, recoveryLimit, last)
}

// readVersion reads the configuration at the machines in turn and returns the first answer with status 200,
// or the last one.
func readVersion(o options) string {
	client := newClient()
	got := "no answer"
	for _, i := range rand.Perm(len(o.controls)) {
		response, err := client.Get("http://" + o.controls[i] + "/godwitlink/Config.Read")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && strings.HasPrefix(string(body), `{"version":1,`) {
			return "200 version 1"
		}
		got = fmt.Sprint(response.StatusCode)
	}
	return got
}
