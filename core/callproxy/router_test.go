package callproxy

import (
	"fmt"
	"testing"
	"time"
)

const leaderAddress = "10.0.0.1:7002"

// routing is a router with four followers, and a clock.
type routing struct {
	*Router
	now time.Time
}

func followers() []string {
	return []string{"10.0.0.2:7002", "10.0.0.3:7002", "10.0.0.4:7002", "10.0.0.5:7002"}
}

func newRouting(workers int) *routing {
	now := time.Unix(1_700_000_000, 0)
	r := &routing{NewRouter(now, leaderAddress, 1200), now}
	r.SetMembers(now, append(followers(), leaderAddress))
	r.SetWorkers(workers)
	return r
}

// pass lets time pass, in which messages from and to the given proxies arrive.
func (r *routing) pass(d time.Duration, heard ...string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(50 * time.Millisecond)
		r.Tick(r.now)
		for _, address := range heard {
			r.Heard(r.now, address)
			r.Reached(r.now, address)
		}
	}
}

// routes returns the address that calls each worker; "" for nobody.
func (r *routing) routes(t *testing.T, workers int) (routes map[string]string, counts map[string]int) {
	t.Helper()
	routes, counts = map[string]string{}, map[string]int{}
	for i := range workers {
		worker := fmt.Sprint("worker-", i)
		via, address := r.Route(r.now, worker)
		switch via {
		case ViaLeader:
			address = leaderAddress
		case ViaLater:
			t.Fatal("the router waits for a first proxy")
		}
		routes[worker] = address
		counts[address]++
	}
	return routes, counts
}

// Guards against a proxy that gets far more workers than it has descriptors for, and against calls by the
// leader while the proxies can do them.
func TestProxiesShareTheWorkers(t *testing.T) {
	r := newRouting(3000)
	r.pass(100*time.Millisecond, followers()...)
	_, counts := r.routes(t, 3000)
	if counts[leaderAddress] > 0 || counts[""] > 0 {
		t.Errorf("the leader calls %d workers, nobody calls %d", counts[leaderAddress], counts[""])
	}
	for _, address := range followers() {
		if got := counts[address]; got < 675 || got > 825 {
			t.Errorf("%s calls %d workers, want 750 within a tenth", address, got)
		}
	}
}

// Guards against a failed proxy whose loss moves the workers of others, which would open connections
// everywhere.
func TestFailureMovesOnlyTheWorkersOfTheProxy(t *testing.T) {
	r := newRouting(2000)
	r.pass(firstWait, followers()...)
	before, _ := r.routes(t, 2000)
	failed := followers()[1]
	r.Failed(r.now, failed, FaultUnreachable)
	after, _ := r.routes(t, 2000)
	for worker, address := range before {
		if address != failed && after[worker] != address {
			t.Fatalf("%s has moved from %s to %s", worker, address, after[worker])
		}
		if after[worker] == failed {
			t.Fatalf("%s is called by the failed proxy", worker)
		}
	}
}

// Guards against a process that calls more workers than it has descriptors for when others are missing.
func TestRestIsCalledByTheLeaderWithinItsDescriptors(t *testing.T) {
	for proxies, want := range map[int][3]float64{ // workers of each proxy, of the leader, of nobody
		4: {750, 0, 0},
		3: {1000, 0, 0},
		2: {1000, 1000, 0},
		1: {1200, 1200, 600},
		0: {0, 1200, 1800},
	} {
		each, leader, none := split(3000, proxies, workersPerProxy, 1200)
		if got := [3]float64{each, leader, none}; got != want {
			t.Errorf("%d proxies: %v, want %v", proxies, got, want)
		}
	}
}

// Guards against a proxy that is used although it was never heard in this session, or not for a second.
func TestSilentProxyIsNotUsed(t *testing.T) {
	r := newRouting(3000)
	r.pass(firstWait)
	if _, counts := r.routes(t, 3000); counts[leaderAddress] < 1080 || counts[leaderAddress] > 1320 || counts[leaderAddress]+counts[""] != 3000 {
		t.Errorf("without proxies the calls go to %v, want about 1200 from the leader and none from proxies", counts)
	}
	r.pass(100*time.Millisecond, followers()...)
	r.pass(maxSilence+200*time.Millisecond, followers()[1:]...)
	if _, counts := r.routes(t, 3000); counts[followers()[0]] > 0 {
		t.Errorf("a silent proxy calls %d workers", counts[followers()[0]])
	}
	r.pass(restTime-time.Second, followers()...)
	if r.Used() != 3 {
		t.Errorf("%d proxies are used before the rest is over, want 3", r.Used())
	}
	r.pass(2*time.Second, followers()...)
	if r.Used() != 4 {
		t.Errorf("%d proxies are used after the rest, want 4", r.Used())
	}
}

// Guards against all proxies being given up because the leader is slow to read their messages: it would have to
// call the workers itself then. Without any message for long they are given up.
func TestCommonSilenceIsNotTheProxiesFault(t *testing.T) {
	r := newRouting(3000)
	r.pass(100*time.Millisecond, followers()...)
	if r.pass(maxCommonSilence-100*time.Millisecond, "none"); r.Used() != 4 {
		t.Errorf("%d proxies are used after a common silence, want 4", r.Used())
	}
	if r.pass(200*time.Millisecond, "none"); r.Used() != 0 {
		t.Errorf("%d proxies are used after a long silence, want none", r.Used())
	}
}

// Guards against a proxy that is used although it takes over no batches, and against all being given up because
// the leader is slow to send them.
func TestTimedOutBatchIsJudgedByTheOthers(t *testing.T) {
	r := newRouting(3000)
	r.pass(100*time.Millisecond, followers()...)
	r.TimedOut(r.now, followers()[0])
	if r.Used() != 3 {
		t.Errorf("%d proxies are used, want only the one with the timeout to be given up", r.Used())
	}
	r.now = r.now.Add(2 * recentlyReached)
	for _, address := range followers()[1:] {
		r.TimedOut(r.now, address)
	}
	if r.Used() != 3 {
		t.Errorf("%d proxies are used after batches for all have timed out, want 3", r.Used())
	}
	single := newRouting(3000)
	single.pass(100*time.Millisecond, followers()[0])
	if single.TimedOut(single.now, followers()[0]); single.Used() != 0 {
		t.Error("the only proxy is used although it takes over no batches")
	}
}

// Guards against a proxy that is used again and again although its link is cut off in one direction.
func TestProxyIsUsedOnlyWhenBothDirectionsWork(t *testing.T) {
	for name, message := range map[string]func(r *routing){
		"only heard":   func(r *routing) { r.Heard(r.now, followers()[0]) },
		"only reached": func(r *routing) { r.Reached(r.now, followers()[0]) },
	} {
		r := newRouting(3000)
		r.pass(100*time.Millisecond, followers()...)
		r.Failed(r.now, followers()[0], FaultUnreachable)
		for range 100 {
			r.pass(50*time.Millisecond, followers()[1:]...)
			message(r)
		}
		if r.Used() != 3 {
			t.Errorf("%s: %d proxies are used, want 3", name, r.Used())
		}
	}
}

// Guards against all proxies being given up because the leader itself did not run for a while.
func TestPauseOfTheLeaderIsNoSilence(t *testing.T) {
	r := newRouting(3000)
	r.pass(100*time.Millisecond, followers()...)
	r.now = r.now.Add(3 * time.Second)
	r.pass(500 * time.Millisecond) // the messages of the proxies have not been read yet
	if r.Used() != 4 {
		t.Errorf("%d proxies are used, want 4", r.Used())
	}
}

// Guards against a slow proxy that stays in use while most of its calls are lost, against one that is given up
// for a few lost calls, and against all being given up because the leader itself is slow: it would have to
// call the workers itself then.
func TestProxyThatLosesMostCallsIsNotUsed(t *testing.T) {
	all := func(n int) []int { return []int{n, n, n, n} }
	for name, c := range map[string]struct {
		ended, lost []int // by proxy
		used        int
	}{
		"one loses most":            {all(40), []int{25, 0, 0, 0}, 3},
		"three lose most":           {all(40), []int{25, 30, 40, 0}, 1},
		"one loses some":            {all(40), []int{15, 0, 0, 0}, 4},
		"too few to say":            {[]int{10, 40, 40, 40}, []int{10, 0, 0, 0}, 4},
		"all lose most":             {all(40), all(30), 4},
		"no other to compare with":  {[]int{40, 0, 0, 0}, []int{30, 0, 0, 0}, 4},
		"one loses, others so-so":   {all(40), []int{40, 15, 15, 15}, 4},
		"one loses, one other good": {all(40), []int{40, 15, 15, 5}, 3},
	} {
		r := newRouting(3000)
		r.pass(100*time.Millisecond, followers()...)
		for i, address := range followers() {
			for n := range c.ended[i] {
				r.CallEnded(address, n < c.lost[i])
			}
		}
		if r.pass(lossWindow, followers()...); r.Used() != c.used {
			t.Errorf("%s: %d proxies are used, want %d", name, r.Used(), c.used)
		}
	}
	r := newRouting(3000)
	r.pass(100*time.Millisecond, followers()[0])
	for range 40 {
		r.CallEnded(followers()[0], true)
	}
	if r.pass(lossWindow, followers()[0]); r.Used() != 0 {
		t.Error("the only proxy is used although it loses all calls")
	}
}

// Guards against a new leader that opens connections to its workers because not all proxies have answered yet,
// and against one that waits for a proxy that is gone.
func TestNewLeaderWaitsForItsProxies(t *testing.T) {
	r := newRouting(3000)
	if r.Settled(r.now) {
		t.Error("settled at once")
	}
	r.pass(50*time.Millisecond, followers()[:3]...)
	if r.Settled(r.now) {
		t.Error("settled with three of four proxies right after the first one")
	}
	if r.pass(settleTime, followers()[:3]...); !r.Settled(r.now) {
		t.Errorf("not settled %v after the first proxy", settleTime)
	}
	all := newRouting(3000)
	if all.pass(50*time.Millisecond, followers()...); !all.Settled(all.now) {
		t.Error("not settled with all proxies")
	}
	none := newRouting(3000)
	if none.pass(firstWait); !none.Settled(none.now) {
		t.Errorf("not settled after %v", firstWait)
	}
}

// Guards against probes that flood an old version, or a proxy that gets none and ends the session.
func TestProbes(t *testing.T) {
	r := newRouting(3000)
	if got := r.Tick(r.now); len(got) != 4 {
		t.Fatalf("first probes %v, want all four", got)
	}
	for _, address := range followers() {
		r.Sent(r.now, address)
	}
	r.Failed(r.now, followers()[0], FaultVersion)
	for r.now = r.now.Add(maxTickGap / 2); r.now.Before(r.startedAt.Add(versionRestTime)); r.now = r.now.Add(maxTickGap / 2) {
		for _, address := range r.Tick(r.now) {
			if address == followers()[0] {
				t.Fatalf("a process of an earlier version is asked again after %v", r.now.Sub(r.startedAt))
			}
		}
	}
	if got := r.Tick(r.now); len(got) != 4 {
		t.Errorf("probes %v after the rest of an earlier version, want all four", got)
	}
}
