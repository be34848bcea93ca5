package proxying

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// BenchmarkLeaderCost measures the processor time of the leader's side at 3,000 holds and 1,500 starts a
// second through four proxies in processes of their own, in cores. The budget is 0.32 cores for all that the
// leader does for its workers.
func BenchmarkLeaderCost(b *testing.B) {
	const workers, rounds = 3000, 500 // a part of the workers every 2 ms
	set := metrics.New()
	box := &handlerBox{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: box}
	defer server.Close()
	leader := NewLeader(LeaderOptions{
		SelfAddress: listener.Addr().String(), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, PerProcess: 1000,
		HoldMargin: 600 * time.Millisecond, LateHold: 1500 * time.Millisecond, StopTimeout: 400 * time.Millisecond, Logger: eventlog.Nop(), Metrics: set,
	})
	box.set(leader)
	go func() { _ = server.Serve(listener) }() // ends with Close
	go leader.Run(b.Context())
	var members []string
	for range 4 {
		members = append(members, startProxyProcess(b).address)
	}
	leader.SetMembers(b.Context(), members)
	results := make(chan Results)
	got := tally{}
	sendRound := func(round int) {
		clocks, err := readClocks()
		if err != nil {
			b.Fatal(err)
		}
		calls := Calls{Term: 1, Ended: b.Context().Done(), Lease: leaseIn(clocks, 440*time.Millisecond), Workers: workers, Results: results}
		for i := round % rounds; i < workers; i += rounds {
			call := dispatch.Call{Worker: workload.WorkerID(fmt.Sprint("worker-", i)), Boot: 7, Address: "10.20.30.40:7000", Token: 9}
			calls.Holds = append(calls.Holds, dispatch.Hold{Call: call, AckedEnd: 4, LeaseUntil: 123456789, Wait: time.Second})
			if i%2 == 0 {
				task := workload.TaskID{Job: "job-12345678", Index: i}
				calls.Starts = append(calls.Starts, dispatch.Start{Call: call, Task: task, Run: 1, Payload: "payload", Ticket: "ticket", Timeout: 400 * time.Millisecond})
			}
		}
		leader.Send(calls)
		for end := time.After(time.Second / rounds); ; {
			select {
			case r := <-results:
				got.add(r)
				continue
			case <-end:
			}
			return
		}
	}
	for round := range 2 * rounds { // until the proxies are used and connections are open
		sendRound(round)
	}
	clear(got)
	b.ResetTimer()
	started, used := time.Now(), processorTime(b)
	for round := range max(b.N, 2) * rounds {
		sendRound(round)
	}
	elapsed := time.Since(started)
	b.ReportMetric((processorTime(b)-used).Seconds()/elapsed.Seconds(), "cores")
	b.ReportMetric(float64(got["hold-ok"])/elapsed.Seconds(), "holds/s")
	b.ReportMetric(float64(got["start-ok"])/elapsed.Seconds(), "starts/s")
	b.Logf("results %v in %v", got, elapsed)
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
