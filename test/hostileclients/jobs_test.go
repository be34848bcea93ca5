package hostileclients

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	jobCrowd = 64
	// jobCrowdTime ends a crowd of jobs that the process goes on accepting within its memory.
	jobCrowdTime = 25 * time.Second
	// memoryCheckInterval is how often a crowd looks at the memory of the control process, to stop before the
	// machine is short of it.
	memoryCheckInterval = 50 * time.Millisecond
)

// crowd lets several clients send requests, each one after the other, until the time of a crowd is over or the control
// process is above its limit. send reports whether a request was accepted.
func (s *system) crowd(size int, send func(*http.Client) (accepted bool)) {
	s.t.Helper()
	var accepted, refused atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for range size {
		clients.Go(func() {
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if send(client) {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	for end := time.Now().Add(jobCrowdTime); time.Now().Before(end); time.Sleep(memoryCheckInterval) {
		if peak, err := peakMemoryKB(s.control.cmd.Process.Pid); err != nil || peak > memoryMB<<10 {
			break
		}
	}
	close(stop)
	clients.Wait()
	s.t.Logf("%d requests accepted, %d refused", accepted.Load(), refused.Load())
}

// sendJobs lets a crowd send jobs.
func (s *system) sendJobs(job func(number int64) string) {
	s.t.Helper()
	var number atomic.Int64
	s.crowd(jobCrowd, func(client *http.Client) bool {
		n := number.Add(1)
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", s.clientsAddress(), queuePath, n), bytes.NewReader([]byte(job(n))))
		if err != nil {
			return false
		}
		request.Host = queueHost
		response, err := client.Do(request)
		if err != nil {
			return false // refused by closing the connection
		}
		_, _ = io.Copy(io.Discard, response.Body) // the status is enough
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

const stepOfOneTask = `{"count":1,"cpu":100,"memMb":10,"estimateMs":100}`

// Guards against a control process that keeps all jobs that it accepts and passes its memory limit. There are no
// workers, so no job ends.
func TestControlWithManyAcceptedJobs(t *testing.T) {
	steps := strings.TrimSuffix(strings.Repeat(stepOfOneTask+",", 64), ",")
	for _, kind := range []struct {
		name string
		job  func(number int64) string
	}{
		{"large specs", func(int64) string {
			return `{"spec":"` + strings.Repeat("x", 250_000) + `","steps":[` + stepOfOneTask + `]}`
		}},
		{"medium specs", func(int64) string {
			return `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + stepOfOneTask + `]}`
		}},
		{"many tasks", func(int64) string {
			return `{"spec":"x","steps":[{"count":2000,"cpu":100,"memMb":10,"estimateMs":100}]}`
		}},
		{"many steps", func(int64) string { return `{"spec":"x","steps":[` + steps + `]}` }},
		{"small jobs", func(int64) string { return `{"spec":"x","steps":[` + stepOfOneTask + `]}` }},
		{"mixed sizes", func(number int64) string {
			return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":100,"memMb":10,"estimateMs":100}]}`, strings.Repeat("x", int(number*number%8000)), 1+number%300)
		}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startSystem(t)
			s.sendJobs(kind.job)
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

// Guards against a control process that keeps the jobs that have ended and passes its memory limit.
func TestControlWithManyCancelledJobs(t *testing.T) {
	s := startSystem(t)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: jobCrowd}}
	defer client.CloseIdleConnections()
	s.sendJobs(func(number int64) string {
		if number > jobCrowd {
			// Cancels a job that another client has sent.
			request, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s%s%016x", s.clientsAddress(), queuePath, number-jobCrowd), nil)
			if err == nil {
				request.Host = queueHost
				if response, err := client.Do(request); err == nil {
					_ = response.Body.Close() // the job may have been refused
				}
			}
		}
		return `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + stepOfOneTask + `]}`
	})
	s.expectJobAccepted()
	s.checkBounds(s.entry)
	s.checkBounds(s.control)
}
