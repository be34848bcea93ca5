package callproxy

import (
	"slices"
	"time"
)

const (
	// workersPerProxy is the number of workers that a proxy calls before the leader calls any itself. Four
	// proxies have 750 each of 3,000; three can still serve all, with two connections to each worker.
	workersPerProxy = 1000
	// HeartbeatInterval is the longest time between two messages of a proxy to its leader.
	HeartbeatInterval = 100 * time.Millisecond
	// maxSilence is how long a proxy may stay silent and be used while another one is heard, within the last
	// recentlyHeard. Starts that a frozen proxy gets meanwhile are in doubt for many seconds. If no proxy is
	// heard, the leader may be slow to read their messages, and waits for maxCommonSilence.
	maxSilence       = 400 * time.Millisecond
	recentlyHeard    = 150 * time.Millisecond
	maxCommonSilence = 1500 * time.Millisecond
	// recentlyReached is how long ago another proxy may have taken over a batch when one proxy does not. A
	// batch is due every 10 ms.
	recentlyReached = 250 * time.Millisecond
	// ProbeInterval is the longest time between two batches for a proxy, and SessionTimeout the time after
	// which a proxy without a batch ends the session.
	ProbeInterval  = 500 * time.Millisecond
	SessionTimeout = 5 * time.Second
	// restTime is how long a proxy is not used after a fault.
	restTime = 3 * time.Second
	// versionRestTime is the time until a process without the service is asked again.
	versionRestTime = 10 * time.Second
	// firstWait is how long a new leader waits for a first proxy before it calls workers itself. Two
	// messages and a round trip take about 50 ms.
	firstWait = 500 * time.Millisecond
	// settleTime is how long it then waits for the other proxies. The longest round trip takes 16 ms.
	settleTime = 100 * time.Millisecond
	// lossWindow is the time over which lost calls are counted, and minLossSample the least number of ended
	// calls in it from which a proxy is judged.
	lossWindow    = time.Second
	minLossSample = 20
	// maxTickGap is the time between two calls of Tick from which the leader's own pause is assumed to be
	// the reason of a silence.
	maxTickGap = 200 * time.Millisecond
)

// Fault is why a proxy is not used. Its text is used as a metric label.
type Fault string

// The faults of a proxy.
const (
	FaultUnreachable Fault = "unreachable" // a batch could not be sent or was not answered
	FaultVersion     Fault = "version"     // the process does not have the service
	FaultSilent      Fault = "silent"
	FaultLossy       Fault = "lossy"     // most calls were lost or came back unsent
	FaultOtherTerm   Fault = "term"      // the proxy serves a later leader
	FaultNotMember   Fault = "no-member" // it is no control replica any more
	FaultStopping    Fault = "stopping"  // its planned stop has begun; it answers the calls that it has
)

// Change is a proxy that is used now, or is not used any more because of a fault.
type Change struct {
	Proxy string
	Used  bool
	Fault Fault
}

// Via says how a worker is called.
type Via uint8

// The ways to call a worker.
const (
	ViaLeader Via = iota
	ViaProxy
	ViaNobody // no process has descriptors for the worker
	ViaLater  // it is not known yet which proxies can be used
)

// proxy is a process that may call workers.
type proxy struct {
	used bool
	// heard and reached say that a message of the proxy has arrived, and that it has taken over a batch,
	// since its last rest. Both are needed: a link may be cut off in one direction.
	heard, reached bool
	heardAt        time.Time
	reachedAt      time.Time
	restUntil      time.Time
	probeAt        time.Time // when the next batch is due
	ended          int       // calls that have ended in the window
	lost           int       // those of them that were lost or came back unsent
}

// Router decides for one session of a leader which process calls a worker.
type Router struct {
	leader     string // address of the leader
	perProcess int    // workers that a process has descriptors for
	workers    int
	startedAt  time.Time
	tickedAt   time.Time
	windowEnd  time.Time // when the losses are judged next
	usedAt     time.Time // when the first proxy was used; zero before
	proxies    map[string]*proxy
	shares     []share
	changes    []Change
}

// nobody is the address of the workers that no process has descriptors for.
const nobody = ""

// NewRouter returns the router of a new session. perProcess is the number of workers that a process can
// call with its descriptors.
func NewRouter(now time.Time, leader string, perProcess int) *Router {
	r := &Router{leader: leader, perProcess: perProcess, startedAt: now, tickedAt: now, proxies: map[string]*proxy{}}
	r.updateShares()
	return r
}

// SetMembers sets the addresses of the control replicas.
func (r *Router) SetMembers(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address != r.leader && r.proxies[address] == nil {
			r.proxies[address] = &proxy{probeAt: now}
		}
	}
	for address, p := range r.proxies {
		if !slices.Contains(addresses, address) {
			r.fault(now, address, p, FaultNotMember)
			delete(r.proxies, address)
		}
	}
}

// SetWorkers sets the number of workers.
func (r *Router) SetWorkers(workers int) {
	if workers != r.workers {
		r.workers = workers
		r.updateShares()
	}
}

// Settled reports whether it is known which proxies can be used. A new leader waits for them a short time.
// If it called the workers itself meanwhile, it would open thousands of connections.
func (r *Router) Settled(now time.Time) bool {
	switch {
	case r.Used() == len(r.proxies) || !now.Before(r.startedAt.Add(firstWait)):
		return true
	case r.usedAt.IsZero():
		return false
	}
	return !now.Before(r.usedAt.Add(settleTime))
}

// Route returns how a worker is called now, and by which proxy if by one.
func (r *Router) Route(now time.Time, worker string) (via Via, proxy string) {
	if !r.Settled(now) {
		return ViaLater, ""
	}
	switch chosen := choose(worker, r.shares); {
	case chosen == r.leader:
		return ViaLeader, ""
	case chosen == nobody:
		return ViaNobody, ""
	default:
		return ViaProxy, chosen
	}
}

// Heard records a message of a proxy in this session.
func (r *Router) Heard(now time.Time, address string) {
	if p := r.proxies[address]; p != nil {
		p.heardAt = now
		p.heard = p.heard || !now.Before(p.restUntil)
		r.use(now, address, p)
	}
}

// Reached records that a proxy has taken over a batch.
func (r *Router) Reached(now time.Time, address string) {
	if p := r.proxies[address]; p != nil {
		p.reachedAt = now
		p.reached = p.reached || !now.Before(p.restUntil)
		r.use(now, address, p)
	}
}

// use begins to use a proxy once messages arrive in both directions.
func (r *Router) use(now time.Time, address string, p *proxy) {
	if p.used || !p.heard || !p.reached {
		return
	}
	p.used, p.ended, p.lost = true, 0, 0
	if r.usedAt.IsZero() {
		r.usedAt = now
	}
	r.changes = append(r.changes, Change{Proxy: address, Used: true})
	r.updateShares()
}

// Failed records that a batch for a proxy has failed.
func (r *Router) Failed(now time.Time, address string, fault Fault) {
	if p := r.proxies[address]; p != nil {
		r.fault(now, address, p, fault)
	}
}

// TimedOut records that a proxy has not taken over a batch in time. While no other proxy takes over batches
// either, the leader itself may be slow.
func (r *Router) TimedOut(now time.Time, address string) {
	p, others, reached := r.proxies[address], 0, false
	if p == nil {
		return
	}
	for _, other := range r.proxies {
		if other != p && other.used {
			others++
			reached = reached || now.Sub(other.reachedAt) <= recentlyReached
		}
	}
	if reached || others == 0 {
		r.fault(now, address, p, FaultUnreachable)
	}
}

// CallEnded records the end of a call by a proxy. lost means that it got no answer from the proxy in time,
// or that the proxy could not send it although the leader lease was long enough.
func (r *Router) CallEnded(address string, lost bool) {
	if p := r.proxies[address]; p != nil {
		p.ended++
		if lost {
			p.lost++
		}
	}
}

// judgeLosses stops the use of proxies that have lost most calls of the window that ends. While no proxy does
// well, the leader itself or its link is slow, and to call the workers itself would make it slower.
func (r *Router) judgeLosses(now time.Time) {
	used, good := 0, 0
	for _, p := range r.proxies {
		if p.used {
			used++
			if p.ended >= minLossSample && 4*p.lost <= p.ended {
				good++
			}
		}
	}
	for address, p := range r.proxies {
		if p.ended >= minLossSample && 2*p.lost > p.ended && (good > 0 || used == 1) {
			r.fault(now, address, p, FaultLossy)
		}
		p.ended, p.lost = 0, 0
	}
}

// Sent records that a batch is being sent to a proxy.
func (r *Router) Sent(now time.Time, address string) {
	if p := r.proxies[address]; p != nil {
		p.probeAt = now.Add(ProbeInterval)
	}
}

// Tick processes what is due and returns the proxies to which a batch must be sent, even an empty one. It
// must be called at least every maxTickGap/2.
func (r *Router) Tick(now time.Time) (probes []string) {
	if gap := now.Sub(r.tickedAt); gap > maxTickGap {
		for _, p := range r.proxies {
			p.heardAt = p.heardAt.Add(gap)
		}
	}
	r.tickedAt = now
	if !now.Before(r.windowEnd) {
		r.judgeLosses(now)
		r.windowEnd = now.Add(lossWindow)
	}
	for address, p := range r.proxies {
		if silence := now.Sub(p.heardAt); p.used && silence > maxSilence && (r.heardRecently(now) || silence > maxCommonSilence) {
			r.fault(now, address, p, FaultSilent)
		}
		if !now.Before(p.probeAt) {
			probes = append(probes, address)
		}
	}
	slices.Sort(probes)
	return probes
}

// heardRecently reports whether messages of proxies are being read.
func (r *Router) heardRecently(now time.Time) bool {
	for _, p := range r.proxies {
		if p.used && now.Sub(p.heardAt) <= recentlyHeard {
			return true
		}
	}
	return false
}

// Changes returns the changes since the last call.
func (r *Router) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Used returns the number of proxies in use.
func (r *Router) Used() int {
	used := 0
	for _, p := range r.proxies {
		if p.used {
			used++
		}
	}
	return used
}

// fault stops the use of a proxy for a time.
func (r *Router) fault(now time.Time, address string, p *proxy, fault Fault) {
	rest := restTime
	if fault == FaultVersion {
		rest = versionRestTime
		p.probeAt = now.Add(rest)
	}
	p.restUntil = now.Add(rest)
	p.heard, p.reached = false, false
	if !p.used {
		return
	}
	p.used = false
	r.changes = append(r.changes, Change{Proxy: address, Fault: fault})
	r.updateShares()
}

func (r *Router) updateShares() {
	used := r.Used()
	eachProxy, leader, none := split(r.workers, used, min(workersPerProxy, r.perProcess), r.perProcess)
	r.shares = append(r.shares[:0], share{r.leader, leader}, share{nobody, none})
	for address, p := range r.proxies {
		if p.used {
			r.shares = append(r.shares, share{address, eachProxy})
		}
	}
}
