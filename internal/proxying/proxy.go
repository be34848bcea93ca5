package proxying

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Workers sends calls to workers, like dispatcher.WorkerClient.
type Workers interface {
	Hold(ctx context.Context, maySend func() bool, hold dispatch.Hold) dispatch.HoldReport
	Start(ctx context.Context, maySend func() bool, start dispatch.Start) (outcome dispatch.Outcome, clock int64)
	Stop(ctx context.Context, maySend func() bool, stop dispatch.Stop) (outcome dispatch.Outcome, clock int64)
}

// ProxyOptions configures a Proxy.
type ProxyOptions struct {
	SelfAddress string // internal listener of this process
	Workers     Workers
	Client      *http.Client
	Logger      *eventlog.Logger
	Metrics     *metrics.Set
}

// Proxy sends calls to workers for the leader. It serves one leader at a time, that of the highest term.
type Proxy struct {
	opts     ProxyOptions
	batches  chan batchMessage
	finished chan finishedCall
	posted   chan postedAnswers
	stops    chan chan<- struct{}
	bad      *badMessages
}

// NewProxy returns a proxy. Run must be called for it to work.
func NewProxy(opts ProxyOptions) *Proxy {
	return &Proxy{
		opts: opts, batches: make(chan batchMessage, mailboxSize), finished: make(chan finishedCall, mailboxSize), posted: make(chan postedAnswers, mailboxSize), bad: &badMessages{logger: opts.Logger},
		stops: make(chan chan<- struct{}),
	}
}

// Stop takes over no more calls and waits until those that were taken over are answered, or ctx ends.
func (p *Proxy) Stop(ctx context.Context) {
	done := make(chan struct{})
	select {
	case p.stops <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Messages to the task.
type (
	batchMessage struct {
		batch  callproxy.CallBatch
		status chan<- int // HTTP status; has room for one value
	}
	finishedCall struct {
		session uint64
		call    callproxy.Call
		answer  callproxy.Answer
	}
	postedAnswers struct {
		session  uint64
		answers  []timedAnswer
		status   int // 0 without an answer
		exchange *callproxy.Exchange
	}
)

// timedAnswer is an answer that the leader has not confirmed.
type timedAnswer struct {
	callproxy.Answer
	at time.Time
}

const (
	// answerLife is how long an answer is sent again. The leader waits for a late answer to a hold for
	// 1.5 s after its timeout.
	answerLife = 2 * time.Second
	// answerRetryInterval is the time between two attempts while they fail.
	answerRetryInterval = 50 * time.Millisecond
	// maxAnswersPerBatch and maxAnswerBytes bound a batch of answers; bytes are estimated.
	maxAnswersPerBatch = 500
	maxAnswerBytes     = 1 << 20
	listedRunBytes     = 128
	// dropReportInterval is the least time between two log lines about answers that were dropped.
	dropReportInterval = 5 * time.Second
)

// proxyTask is the state of the task.
type proxyTask struct {
	*Proxy
	session    *proxySession // nil without a leader
	nextReport time.Time
	stopping   bool
	stopped    chan<- struct{} // closed when all calls are answered; nil before Stop
}

// proxySession is the state of the session of a leader.
type proxySession struct {
	id        uint64
	term      uint64
	replyTo   string
	ctx       context.Context // of the calls
	cancel    context.CancelFunc
	lastBatch time.Time
	exchange  *callproxy.Exchange // nil before the first one
	waiting   []callproxy.Call    // calls that wait for an exchange of clocks
	holds     map[string][]sentHold
	running   int // calls that have not ended
	answers   []timedAnswer
	inFlight  int // posts
	lastPost  time.Time
	retryAt   time.Time
}

// sentHold is a hold that the worker has not answered.
type sentHold struct {
	id     uint64
	cancel context.CancelFunc
}

// Run processes the messages until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	t := &proxyTask{Proxy: p}
	defer t.endSession("process ends")
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.batches:
			m.status <- t.handleBatch(ctx, m.batch)
		case m := <-p.finished:
			t.handleFinished(m)
		case m := <-p.posted:
			t.handlePosted(ctx, m)
		case t.stopped = <-p.stops:
			t.stopping = true
		case <-timer.C:
		}
		if t.session != nil {
			timer.Reset(t.postDue(ctx, time.Now()))
		}
		t.endStop()
	}
}

// endStop ends Stop once no call waits for its answer to arrive at the leader.
func (t *proxyTask) endStop() {
	if t.stopped == nil {
		return
	}
	if s := t.session; s == nil || s.running+len(s.waiting)+len(s.answers)+s.inFlight == 0 {
		t.endSession("planned stop")
		close(t.stopped)
		t.stopped = nil
	}
}

// handleBatch takes over a batch and returns the status of the response.
func (t *proxyTask) handleBatch(ctx context.Context, batch callproxy.CallBatch) int {
	now := time.Now()
	if t.stopping {
		return http.StatusGone
	}
	if s := t.session; s == nil || s.id != batch.Session {
		if s != nil && batch.Term < s.term {
			return http.StatusConflict
		}
		t.endSession("later leader")
		t.beginSession(ctx, now, batch)
	}
	s := t.session
	s.lastBatch = now
	if s.exchange == nil {
		s.waiting = append(s.waiting, batch.Calls...)
		return http.StatusOK
	}
	t.startCalls(ctx, batch.Calls)
	return http.StatusOK
}

func (t *proxyTask) beginSession(ctx context.Context, now time.Time, batch callproxy.CallBatch) {
	s := &proxySession{id: batch.Session, term: batch.Term, replyTo: batch.ReplyTo, lastBatch: now, holds: map[string][]sentHold{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	t.session = s
	t.opts.Logger.Log(eventSessionStarted, zap.Uint64("term", batch.Term), zap.String("leader", batch.ReplyTo))
}

func (t *proxyTask) endSession(reason string) {
	s := t.session
	if s == nil {
		return
	}
	s.cancel()
	t.session = nil
	t.opts.Logger.Log(eventSessionEnded, zap.Uint64("term", s.term), zap.String("leader", s.replyTo), zap.String("reason", reason))
}

// startCalls starts a goroutine for each call, which owns its connection.
func (t *proxyTask) startCalls(ctx context.Context, calls []callproxy.Call) {
	s := t.session
	for _, c := range calls {
		if !wellFormed(c) {
			t.bad.log(s.replyTo, fmt.Errorf("call of kind %d", c.Kind))
			continue
		}
		callCtx, cancel := context.WithTimeout(s.ctx, time.Duration(c.TimeoutMs)*time.Millisecond)
		if c.Kind == callproxy.KindHold {
			s.holds[c.Worker] = append(s.holds[c.Worker], sentHold{c.ID, cancel})
		}
		s.running++
		deadline := s.exchange.Deadline(time.Duration(c.Until))
		go func() {
			defer cancel()
			done := finishedCall{s.id, c, t.send(callCtx, deadline, c)}
			select {
			case t.finished <- done:
			case <-ctx.Done():
			}
		}()
	}
}

// send sends a call if the leader's permission lasts, by all clocks of this process.
func (t *proxyTask) send(ctx context.Context, deadline lease.Deadline, c callproxy.Call) callproxy.Answer {
	maySend := func() bool { return permitted(deadline) }
	answer := callproxy.Answer{ID: c.ID, Outcome: uint8(dispatch.OutcomeNotPermitted)}
	if !maySend() {
		return answer
	}
	switch c.Kind {
	case callproxy.KindHold:
		return answerOf(c.ID, t.opts.Workers.Hold(ctx, maySend, holdOf(c)))
	case callproxy.KindStart:
		outcome, clock := t.opts.Workers.Start(ctx, maySend, startOf(c))
		answer.Outcome, answer.Clock = uint8(outcome), clock
	case callproxy.KindStop:
		outcome, clock := t.opts.Workers.Stop(ctx, maySend, stopOf(c))
		answer.Outcome, answer.Clock = uint8(outcome), clock
	}
	return answer
}

func (t *proxyTask) handleFinished(m finishedCall) {
	t.opts.Metrics.Add(metricServed, dispatch.Outcome(m.answer.Outcome).String(), 1)
	s := t.session
	if s == nil || s.id != m.session {
		return
	}
	s.running--
	if m.call.Kind == callproxy.KindHold {
		s.holdEnded(m.call.Worker, m.call.ID, dispatch.Outcome(m.answer.Outcome) == dispatch.OutcomeOK)
	}
	s.answers = append(s.answers, timedAnswer{m.answer, time.Now()})
}

// holdEnded removes a hold. Earlier holds of the worker are cancelled once a later one is answered, whose
// answer lists the same ends. They would occupy the worker's connections.
func (s *proxySession) holdEnded(worker string, id uint64, answered bool) {
	kept := s.holds[worker][:0]
	for _, h := range s.holds[worker] {
		switch {
		case h.id == id:
		case answered && h.id < id:
			h.cancel()
		default:
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		delete(s.holds, worker)
		return
	}
	s.holds[worker] = kept
}

// postDue sends the answers that are due and returns when to call it next.
func (t *proxyTask) postDue(ctx context.Context, now time.Time) time.Duration {
	s := t.session
	if now.Sub(s.lastBatch) > callproxy.SessionTimeout {
		t.endSession("silent leader")
		return time.Hour
	}
	t.dropOldAnswers(now)
	if s.inFlight >= maxBatchesInFlight {
		return callproxy.HeartbeatInterval
	}
	dueAt := s.lastPost.Add(callproxy.HeartbeatInterval)
	if len(s.answers) > 0 {
		dueAt = s.lastPost.Add(batchInterval)
	}
	if dueAt.Before(s.retryAt) {
		dueAt = s.retryAt
	}
	if wait := dueAt.Sub(now); wait > 0 {
		return wait
	}
	t.postAnswers(ctx, now)
	if len(s.answers) > 0 {
		return batchInterval
	}
	return callproxy.HeartbeatInterval
}

// dropOldAnswers drops the answers that the leader no longer waits for. They are sorted by time, except for
// those that are sent again.
func (t *proxyTask) dropOldAnswers(now time.Time) {
	s := t.session
	dropped := 0
	for dropped < len(s.answers) && now.Sub(s.answers[dropped].at) > answerLife {
		dropped++
	}
	if dropped == 0 {
		return
	}
	s.answers = s.answers[dropped:]
	t.opts.Metrics.Add(metricLost, "answer-dropped", int64(dropped))
	if !now.Before(t.nextReport) {
		t.nextReport = now.Add(dropReportInterval)
		t.opts.Logger.Log(eventAnswersDropped, zap.String("leader", s.replyTo), zap.Int("count", dropped))
	}
}

// postAnswers sends the oldest answers to the leader, or a message without answers.
func (t *proxyTask) postAnswers(ctx context.Context, now time.Time) {
	s := t.session
	taken, size := 0, 0
	for taken < min(len(s.answers), maxAnswersPerBatch) && size < maxAnswerBytes {
		size += listedRunBytes * (1 + len(s.answers[taken].Active) + len(s.answers[taken].Ends))
		taken++
	}
	result := postedAnswers{session: s.id, answers: s.answers[:taken:taken]}
	s.answers = s.answers[taken:]
	s.lastPost = now
	s.inFlight++
	replyTo := s.replyTo
	go func() {
		result.status, result.exchange = t.post(ctx, replyTo, result)
		select {
		case t.posted <- result:
		case <-ctx.Done():
		}
	}()
}

// post sends answers and returns the status of the response and the exchange of clocks.
func (p *Proxy) post(ctx context.Context, replyTo string, result postedAnswers) (status int, exchange *callproxy.Exchange) {
	batch := callproxy.AnswerBatch{Session: result.session, Proxy: p.opts.SelfAddress}
	for _, a := range result.answers {
		batch.Answers = append(batch.Answers, a.Answer)
	}
	body, err := codec.EncodeAnswerBatch(batch)
	if err != nil {
		p.bad.log(replyTo, err)
		return http.StatusBadRequest, nil
	}
	asked, err := readClocks()
	if err != nil {
		return 0, nil
	}
	status, reply, err := post(ctx, p.opts.Client, answersTimeout, replyTo, AnswersPath, body)
	if err != nil {
		p.opts.Metrics.Add(metricBatches, "answers-failed", 1)
		return 0, nil
	}
	if status != http.StatusOK {
		p.opts.Metrics.Add(metricBatches, "answers-refused", 1)
		return status, nil
	}
	p.opts.Metrics.Add(metricBatches, "answers-ok", 1)
	reading, err := codec.DecodeClockReading(reply)
	if err != nil {
		p.bad.log(replyTo, err)
		return status, nil
	}
	return status, &callproxy.Exchange{Asked: asked, Leader: time.Duration(reading.Clock)}
}

func (t *proxyTask) handlePosted(ctx context.Context, m postedAnswers) {
	s := t.session
	if s == nil || s.id != m.session {
		return
	}
	s.inFlight--
	switch m.status {
	case http.StatusOK:
	case http.StatusGone:
		t.endSession("leader has ended the session")
		return
	case http.StatusBadRequest:
		// The same answers would be refused again.
		t.opts.Metrics.Add(metricLost, "answer-refused", int64(len(m.answers)))
	default:
		s.answers = append(m.answers, s.answers...)
		s.retryAt = time.Now().Add(answerRetryInterval)
	}
	if m.exchange == nil {
		return
	}
	clocks, err := readClocks()
	if err != nil {
		return
	}
	if s.exchange == nil || m.exchange.Better(*s.exchange, clocks) {
		s.exchange = m.exchange
	}
	waiting := s.waiting
	s.waiting = nil
	t.startCalls(ctx, waiting)
}

// ServeHTTP takes over a batch of calls.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, codec.MaxCallBatchBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch, err := codec.DecodeCallBatch(body)
	if err != nil {
		p.bad.log(r.RemoteAddr, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := make(chan int, 1)
	select {
	case p.batches <- batchMessage{batch, status}:
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case code := <-status:
		w.WriteHeader(code)
	case <-r.Context().Done():
	}
}
