package proxying

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Paths of the messages.
const (
	CallsPath   = "/callproxy/v1/calls"
	AnswersPath = "/callproxy/v1/answers"
)

const (
	// batchInterval is the least time between two batches for one receiver. Each costs an HTTP request; with
	// 5 ms the leader's side used a sixth more processor time.
	batchInterval = 10 * time.Millisecond
	// maxBatchesInFlight is the number of unanswered batches for one receiver. Further calls or answers
	// are added to the next batch.
	maxBatchesInFlight = 4
	// batchTimeout limits the wait until a batch is taken over, and answersTimeout the wait until answers are
	// confirmed, which a slow leader does late.
	batchTimeout   = 500 * time.Millisecond
	answersTimeout = time.Second
	// maxCallsPerBatch bounds the size of a batch. A payload may have 4 KB.
	maxCallsPerBatch = 500
	// answerGrace is how long after its timeout a call may still be answered by its proxy, which measures
	// the timeout from when it got the call.
	answerGrace = 100 * time.Millisecond
	// enoughLease is the rest of the leader lease, when the batch is sent, from which a call that the proxy
	// was not permitted to send shows a slow proxy or link. A lease has about 0.4 s when it is renewed.
	enoughLease = 250 * time.Millisecond
	// unassignedDelay is after what time a call that no process has descriptors for is reported as unsent.
	unassignedDelay = 500 * time.Millisecond
	// tickInterval is the time between two checks of the proxies.
	tickInterval = 50 * time.Millisecond
	// mailboxSize is the capacity of a task's mailbox.
	mailboxSize = 256
)

// LeaderOptions configures a Leader.
type LeaderOptions struct {
	SelfAddress string // internal listener of this process
	Client      *http.Client
	PerProcess  int // workers that a process can call with its descriptors
	HoldMargin  time.Duration
	LateHold    time.Duration
	StopTimeout time.Duration
	Logger      *eventlog.Logger
	Metrics     *metrics.Set
}

// Leader gives the calls of a leader to call proxies. Its methods send messages to its task.
type Leader struct {
	opts    LeaderOptions
	mailbox chan any
	bad     *badMessages
}

// Calls are calls that the leader has decided at the same time.
type Calls struct {
	Term    uint64
	Ended   <-chan struct{} // closed when the term has ended
	Lease   lease.Deadline  // end of the leader lease, with a reading of the boot clock
	Workers int             // that the leader calls
	Results chan<- Results  // receives the results, in no particular order
	Holds   []dispatch.Hold
	Starts  []dispatch.Start
	Stops   []dispatch.Stop
}

// Results are the outcomes of calls, and calls that the leader is to send itself.
type Results struct {
	Holds     []HoldResult
	LateHolds []HoldResult // answers to holds that were reported as unanswered
	Starts    []StartResult
	Stops     []StopResult
	OwnHolds  []dispatch.Hold
	OwnStarts []dispatch.Start
	OwnStops  []dispatch.Stop
}

// HoldResult is the outcome of a hold.
type HoldResult struct {
	Hold   dispatch.Hold
	Report dispatch.HoldReport
}

// StartResult is the outcome of a start.
type StartResult struct {
	Start   dispatch.Start
	Outcome dispatch.Outcome
	Clock   int64
	Delay   time.Duration
}

// StopResult is the outcome of a stop.
type StopResult struct {
	Stop    dispatch.Stop
	Outcome dispatch.Outcome
	Clock   int64
	Delay   time.Duration
}

func (r *Results) empty() bool {
	return len(r.Holds)+len(r.LateHolds)+len(r.Starts)+len(r.Stops)+len(r.OwnHolds)+len(r.OwnStarts)+len(r.OwnStops) == 0
}

// NewLeader returns the leader's side. Run must be called for it to work.
func NewLeader(opts LeaderOptions) *Leader {
	return &Leader{opts: opts, mailbox: make(chan any, mailboxSize), bad: &badMessages{logger: opts.Logger}}
}

// Send passes calls to the task. It waits for room in its mailbox; the task never waits for its senders.
func (l *Leader) Send(calls Calls) {
	select {
	case l.mailbox <- calls:
	case <-calls.Ended:
	}
}

// SetMembers sets the internal addresses of the control replicas.
func (l *Leader) SetMembers(ctx context.Context, addresses []string) {
	select {
	case l.mailbox <- membersMessage(addresses):
	case <-ctx.Done():
	}
}

// Messages to the task beside Calls.
type (
	membersMessage []string
	answersMessage struct {
		batch callproxy.AnswerBatch
		known chan<- bool // whether the session is the present one; has room for one value
	}
	batchResult struct {
		session uint64
		proxy   string
		ids     []uint64
		fault   callproxy.Fault // of the proxy, if any
		late    bool            // the batch was not taken over in time
		unsent  bool            // the batch certainly was not taken over
	}
)

// Run processes the messages until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	t := &leaderTask{opts: l.opts, mailbox: l.mailbox, bad: l.bad}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	for {
		results, ended := t.output()
		select {
		case <-ctx.Done():
			return
		case message := <-l.mailbox:
			t.handle(message)
		case results <- t.results():
			t.session.ready = Results{}
		case <-ended:
			t.endSession()
		case <-flush.C:
		case <-ticker.C:
			t.tick(time.Now())
		}
		if wait, due := t.flush(ctx, time.Now()); due {
			flush.Reset(wait)
		}
	}
}

// leaderTask is the state of the task.
type leaderTask struct {
	opts    LeaderOptions
	mailbox chan any
	bad     *badMessages
	members []string
	session *leaderSession // nil while no calls are delegated
}

// leaderSession is the state of one term in which calls are delegated.
type leaderSession struct {
	id       uint64
	term     uint64
	ended    <-chan struct{}
	sink     chan<- Results
	lastSend time.Time // of the last calls from the dispatcher
	router   *callproxy.Router
	lastID   uint64
	pending  map[uint64]*pendingCall
	due      dueCalls
	outboxes map[string]*outbox
	parked   []*pendingCall // calls that wait until it is known which proxies can be used
	ready    Results
	routed   [len(viaNames)]int64 // calls since the last tick
}

// viaNames are the labels of the ways to call a worker.
var viaNames = [...]string{callproxy.ViaLeader: "leader", callproxy.ViaProxy: "proxy", callproxy.ViaNobody: "nobody", callproxy.ViaLater: "later"}

// pendingCall is a call that a proxy has, or is about to get.
type pendingCall struct {
	message callproxy.Call
	lease   lease.Deadline
	proxy   string
	sentAt  time.Time
	hold    dispatch.Hold
	start   dispatch.Start
	stop    dispatch.Stop
	late    bool // a hold that was reported as unanswered
	ample   bool // the lease had enoughLease left when the batch was sent
	// unassigned is set for a call that no process has descriptors for.
	unassigned bool
}

// outbox holds the calls for one proxy that are not in a batch yet.
type outbox struct {
	ids       []uint64
	inFlight  int
	lastBatch time.Time
	probe     bool // a batch is due even if it is empty
}

// output returns the channel for results and the one that says that their receiver has gone.
func (t *leaderTask) output() (chan<- Results, <-chan struct{}) {
	if t.session == nil {
		return nil, nil
	}
	if t.session.ready.empty() {
		return nil, t.session.ended
	}
	return t.session.sink, t.session.ended
}

func (t *leaderTask) results() Results {
	if t.session == nil {
		return Results{}
	}
	return t.session.ready
}

func (t *leaderTask) handle(message any) {
	now := time.Now()
	switch m := message.(type) {
	case Calls:
		t.handleCalls(now, m)
	case membersMessage:
		t.members = m
		if t.session != nil {
			t.session.router.SetMembers(now, m)
		}
	case answersMessage:
		known := t.session != nil && t.session.id == m.batch.Session
		m.known <- known
		if known {
			t.handleAnswers(now, m.batch)
		}
	case batchResult:
		if t.session != nil && t.session.id == m.session {
			t.handleBatchResult(now, m)
		}
	}
	t.logChanges()
	t.routeParked(now)
}

// routeParked routes the calls that have waited until it is known which proxies can be used. Those for which
// the leader lease has ended meanwhile are found when their batch is sent.
func (t *leaderTask) routeParked(now time.Time) {
	s := t.session
	if s == nil || len(s.parked) == 0 || !s.router.Settled(now) {
		return
	}
	parked := s.parked
	s.parked = nil
	for _, c := range parked {
		t.route(now, c)
	}
}

func (t *leaderTask) handleCalls(now time.Time, calls Calls) {
	select {
	case <-calls.Ended:
		return
	default:
	}
	if t.session == nil || t.session.term != calls.Term {
		t.beginSession(now, calls)
	}
	s := t.session
	s.lastSend = now
	s.router.SetWorkers(calls.Workers)
	for _, h := range calls.Holds {
		message := holdCall(h)
		message.TimeoutMs = (h.Wait + t.opts.HoldMargin + t.opts.LateHold).Milliseconds()
		t.route(now, &pendingCall{message: message, lease: calls.Lease, sentAt: now, hold: h})
	}
	for _, start := range calls.Starts {
		message := startCall(start)
		message.TimeoutMs = start.Timeout.Milliseconds()
		t.route(now, &pendingCall{message: message, lease: calls.Lease, sentAt: now, start: start})
	}
	for _, stop := range calls.Stops {
		message := stopCall(stop)
		message.TimeoutMs = t.opts.StopTimeout.Milliseconds()
		t.route(now, &pendingCall{message: message, lease: calls.Lease, sentAt: now, stop: stop})
	}
}

func (t *leaderTask) beginSession(now time.Time, calls Calls) {
	t.endSession()
	s := &leaderSession{
		id: rand.Uint64(), term: calls.Term, ended: calls.Ended, sink: calls.Results, lastSend: now,
		router:  callproxy.NewRouter(now, t.opts.SelfAddress, t.opts.PerProcess),
		pending: map[uint64]*pendingCall{}, outboxes: map[string]*outbox{},
	}
	s.router.SetMembers(now, t.members)
	t.session = s
	t.opts.Logger.Log(eventDelegating, zap.Uint64("term", calls.Term), zap.Int("workers", calls.Workers), zap.Int("members", len(t.members)))
}

func (t *leaderTask) endSession() {
	if t.session == nil {
		return
	}
	t.opts.Logger.Log(eventNotDelegating, zap.Uint64("term", t.session.term))
	t.session = nil
	t.opts.Metrics.SetGauge(metricProxiesUsed, 0)
	t.opts.Metrics.SetGauge(metricInFlight, 0)
}

// route gives a call that was not sent to a proxy, or back to the dispatcher.
func (t *leaderTask) route(now time.Time, c *pendingCall) {
	s := t.session
	delete(s.pending, c.message.ID)
	via, proxy := s.router.Route(now, c.message.Worker)
	s.routed[via]++
	switch via {
	case callproxy.ViaLeader:
		s.giveBack(c)
	case callproxy.ViaLater:
		s.parked = append(s.parked, c)
	case callproxy.ViaNobody:
		// The dispatcher would repeat the call after a few milliseconds.
		c.proxy, c.unassigned = "", true
		s.register(c, now.Add(unassignedDelay))
	case callproxy.ViaProxy:
		c.proxy = proxy
		s.register(c, now.Add(t.timeoutOf(c)))
		s.outbox(proxy).ids = append(s.outbox(proxy).ids, c.message.ID)
	}
}

// register adds a call to the table. A call that was in it before keeps its id and its timeout.
func (s *leaderSession) register(c *pendingCall, due time.Time) {
	if c.message.ID == 0 {
		s.lastID++
		c.message.ID = s.lastID
		s.due.add(due, s.lastID)
	}
	s.pending[c.message.ID] = c
}

// timeoutOf returns the time after which a call counts as unanswered.
func (t *leaderTask) timeoutOf(c *pendingCall) time.Duration {
	switch c.message.Kind {
	case callproxy.KindHold:
		return c.hold.Wait + t.opts.HoldMargin
	case callproxy.KindStart:
		return c.start.Timeout + answerGrace
	}
	return t.opts.StopTimeout + answerGrace
}

// permitted reports whether the leader lease has not ended on any clock.
func permitted(until lease.Deadline) bool {
	clocks, err := readClocks()
	return err == nil && clocks.Permitted(until)
}

// readClocks reads the boot clock first: a pause between the two readings then only shortens what is left
// of a lease by the other clocks, added to this reading.
func readClocks() (callproxy.Clocks, error) {
	boot, err := bootclock.Now()
	return callproxy.Clocks{Now: time.Now(), Boot: boot}, err
}

func (s *leaderSession) outbox(proxy string) *outbox {
	box := s.outboxes[proxy]
	if box == nil {
		box = &outbox{}
		s.outboxes[proxy] = box
	}
	return box
}

// finish reports the outcome of a call that was not answered with data.
func (s *leaderSession) finish(c *pendingCall, outcome dispatch.Outcome, now time.Time) {
	s.deliver(c, callproxy.Answer{Outcome: uint8(outcome)}, now)
}

// deliver adds an answer to the results. The caller removes the call.
func (s *leaderSession) deliver(c *pendingCall, a callproxy.Answer, now time.Time) {
	switch c.message.Kind {
	case callproxy.KindHold:
		result := HoldResult{c.hold, reportOf(a)}
		switch {
		case !c.late:
			s.ready.Holds = append(s.ready.Holds, result)
		case result.Report.Outcome == dispatch.OutcomeOK:
			s.ready.LateHolds = append(s.ready.LateHolds, result)
		}
	case callproxy.KindStart:
		s.ready.Starts = append(s.ready.Starts, StartResult{c.start, outcomeOf(a), a.Clock, now.Sub(c.sentAt)})
	case callproxy.KindStop:
		s.ready.Stops = append(s.ready.Stops, StopResult{c.stop, outcomeOf(a), a.Clock, now.Sub(c.sentAt)})
	}
}

// giveBack returns a call to the dispatcher, which sends it itself.
func (s *leaderSession) giveBack(c *pendingCall) {
	switch c.message.Kind {
	case callproxy.KindHold:
		s.ready.OwnHolds = append(s.ready.OwnHolds, c.hold)
	case callproxy.KindStart:
		s.ready.OwnStarts = append(s.ready.OwnStarts, c.start)
	case callproxy.KindStop:
		s.ready.OwnStops = append(s.ready.OwnStops, c.stop)
	}
}

func (t *leaderTask) handleAnswers(now time.Time, batch callproxy.AnswerBatch) {
	s := t.session
	s.router.Heard(now, batch.Proxy)
	for _, a := range batch.Answers {
		c := s.pending[a.ID]
		if c == nil || c.proxy != batch.Proxy {
			continue // answered before, given up, or sent by another proxy since
		}
		delete(s.pending, a.ID)
		s.deliver(c, a, now)
		if c.late {
			continue
		}
		refused := c.ample && outcomeOf(a) == dispatch.OutcomeNotPermitted
		if refused {
			t.opts.Metrics.Add(metricLost, "not-permitted", 1)
		}
		s.router.CallEnded(batch.Proxy, refused)
	}
}

// tick gives up calls that were not answered in time and judges the proxies.
func (t *leaderTask) tick(now time.Time) {
	s := t.session
	if s == nil {
		return
	}
	if now.Sub(s.lastSend) > callproxy.SessionTimeout && len(s.pending)+len(s.parked) == 0 && s.ready.empty() {
		// The leader calls all workers itself: there are few again.
		t.endSession()
		return
	}
	for id, due := s.due.next(now); due; id, due = s.due.next(now) {
		t.callOverdue(now, id)
	}
	for _, proxy := range s.router.Tick(now) {
		s.outbox(proxy).probe = true
	}
	t.logChanges()
	t.routeParked(now)
	t.opts.Metrics.SetGauge(metricProxiesUsed, float64(s.router.Used()))
	t.opts.Metrics.SetGauge(metricInFlight, float64(len(s.pending)))
	for via, count := range s.routed {
		if count > 0 {
			t.opts.Metrics.Add(metricRouted, viaNames[via], count)
		}
	}
	clear(s.routed[:])
}

func (t *leaderTask) callOverdue(now time.Time, id uint64) {
	s := t.session
	c := s.pending[id]
	switch {
	case c == nil:
	case c.late:
		delete(s.pending, id)
	case c.unassigned:
		delete(s.pending, id)
		s.finish(c, dispatch.OutcomeNotPermitted, now)
	default:
		t.opts.Metrics.Add(metricLost, "no-answer", 1)
		s.router.CallEnded(c.proxy, true)
		t.giveUp(now, id, c)
	}
}

// giveUp reports a call of which nothing is known as unanswered. The answer to a hold is still waited for.
func (t *leaderTask) giveUp(now time.Time, id uint64, c *pendingCall) {
	s := t.session
	s.finish(c, dispatch.OutcomeNoAnswer, now)
	if c.message.Kind != callproxy.KindHold {
		delete(s.pending, id)
		return
	}
	c.late = true
	s.due.add(now.Add(t.opts.LateHold), id)
}

// logChanges logs which proxies are used. The holds of a proxy that has failed count as unanswered at once, so
// that another process calls its workers.
func (t *leaderTask) logChanges() {
	s := t.session
	if s == nil {
		return
	}
	now := time.Now()
	for _, change := range s.router.Changes() {
		if change.Used {
			t.opts.Logger.Log(eventProxyUsed, zap.String("address", change.Proxy), zap.Int("used", s.router.Used()))
			continue
		}
		t.opts.Metrics.Add(metricFaults, string(change.Fault), 1)
		t.opts.Logger.Log(eventProxyNotUsed, zap.String("address", change.Proxy), zap.String("reason", string(change.Fault)), zap.Int("used", s.router.Used()))
		t.abandon(now, change.Proxy, change.Fault != callproxy.FaultStopping)
	}
}

// abandon routes the calls again that are still in the outbox of a proxy, and gives its holds up if it has
// failed.
func (t *leaderTask) abandon(now time.Time, proxy string, failed bool) {
	s := t.session
	waiting := s.outbox(proxy).ids
	s.outbox(proxy).ids = nil
	for _, id := range waiting {
		if c := s.pending[id]; c != nil && c.proxy == proxy && !c.late {
			t.route(now, c)
		}
	}
	if !failed {
		return
	}
	for id, c := range s.pending {
		if c.proxy == proxy && !c.late && c.message.Kind == callproxy.KindHold {
			t.giveUp(now, id, c)
		}
	}
}

// dueCalls is a heap of the times at which calls are given up.
type dueCalls []dueCall

type dueCall struct {
	at time.Time
	id uint64
}

func (d *dueCalls) add(at time.Time, id uint64) { heap.Push(d, dueCall{at, id}) }

// next removes a call that is due.
func (d *dueCalls) next(now time.Time) (id uint64, due bool) {
	if len(*d) == 0 || now.Before((*d)[0].at) {
		return 0, false
	}
	return heap.Pop(d).(dueCall).id, true
}

func (d dueCalls) Len() int           { return len(d) }
func (d dueCalls) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dueCalls) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dueCalls) Push(x any) { *d = append(*d, x.(dueCall)) }

// Pop implements heap.Interface.
func (d *dueCalls) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
