package proxying

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/internal/bootclock"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/sockets"
)

// flush sends the batches that are due and returns when the next one is, if any.
func (t *leaderTask) flush(ctx context.Context, now time.Time) (wait time.Duration, due bool) {
	if t.session == nil {
		return 0, false
	}
	wait = time.Hour
	for proxy, box := range t.session.outboxes {
		if len(box.ids) == 0 && !box.probe || box.inFlight >= maxBatchesInFlight {
			continue
		}
		if left := batchInterval - now.Sub(box.lastBatch); left > 0 {
			wait, due = min(wait, left), true
			continue
		}
		t.sendBatch(ctx, now, proxy, box)
		if len(box.ids) > 0 {
			wait, due = min(wait, batchInterval), true
		}
	}
	return wait, due
}

// sendBatch sends the next calls to a proxy. It leaves out calls that were given up or routed again, and
// those for which the leader lease has ended.
func (t *leaderTask) sendBatch(ctx context.Context, now time.Time, proxy string, box *outbox) {
	s := t.session
	clocks, clockErr := readClocks()
	batch := callproxy.CallBatch{Session: s.id, Term: s.term, ReplyTo: t.opts.SelfAddress}
	result := batchResult{session: s.id, proxy: proxy}
	taken := min(len(box.ids), maxCallsPerBatch)
	for _, id := range box.ids[:taken] {
		c := s.pending[id]
		if c == nil || c.proxy != proxy || c.late {
			continue
		}
		left := c.lease.Left(clocks.Now, clocks.Boot)
		if clockErr != nil || left <= 0 {
			delete(s.pending, id)
			s.finish(c, dispatch.OutcomeNotPermitted, now)
			continue
		}
		c.ample = left >= enoughLease
		c.message.Until = int64(clocks.Boot + left)
		batch.Calls = append(batch.Calls, c.message)
		result.ids = append(result.ids, id)
	}
	box.ids = box.ids[taken:]
	box.lastBatch, box.probe = now, false
	box.inFlight++
	s.router.Sent(now, proxy)
	go func() {
		result.fault, result.late, result.unsent = t.post(ctx, proxy, batch)
		select {
		case t.mailbox <- result:
		case <-ctx.Done():
		}
	}()
}

// post sends a batch. The fault is empty if the proxy has taken it over or may have no part in the failure. late
// means that there was no response in time, unsent that the proxy certainly has not taken the batch over.
func (t *leaderTask) post(ctx context.Context, proxy string, batch callproxy.CallBatch) (fault callproxy.Fault, late, unsent bool) {
	body, err := codec.EncodeCallBatch(batch)
	if err != nil {
		t.bad.log(proxy, err)
		return callproxy.FaultUnreachable, false, true
	}
	started := time.Now()
	status, _, err := post(ctx, t.opts.Client, batchTimeout, proxy, CallsPath, body)
	t.opts.Metrics.Observe(metricRoundTrip, time.Since(started))
	switch {
	case errors.Is(err, sockets.ErrNone):
		// The proxy has no part in it. If it were not used, this process would need more sockets.
		t.opts.Metrics.Add(metricBatches, "calls-no-socket", 1)
		return "", false, true
	case errors.Is(err, context.DeadlineExceeded) && !notConnected(err):
		t.opts.Metrics.Add(metricBatches, "calls-late", 1)
		return "", true, false
	case err != nil:
		fault, unsent = callproxy.FaultUnreachable, notConnected(err)
	case status == http.StatusOK:
	case status == http.StatusNotFound:
		fault, unsent = callproxy.FaultVersion, true
	case status == http.StatusConflict:
		fault, unsent = callproxy.FaultOtherTerm, true
	case status == http.StatusGone:
		fault, unsent = callproxy.FaultStopping, true
	case status == http.StatusServiceUnavailable:
		fault, unsent = callproxy.FaultUnreachable, true
	default:
		fault = callproxy.FaultUnreachable
	}
	label := "calls-ok"
	if fault != "" {
		label = "calls-" + string(fault)
	}
	t.opts.Metrics.Add(metricBatches, label, 1)
	return fault, false, unsent
}

// post sends a message and returns the answer.
func post(ctx context.Context, client *http.Client, timeout time.Duration, address, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return response.StatusCode, answer, err
}

// maxReplyBytes is more than the answer to any message.
const maxReplyBytes = 1024

// notConnected reports whether a request failed before a connection was opened.
func notConnected(err error) bool {
	var opening *net.OpError
	return errors.As(err, &opening) && opening.Op == "dial"
}

func (t *leaderTask) handleBatchResult(now time.Time, m batchResult) {
	s := t.session
	s.outbox(m.proxy).inFlight--
	switch {
	case m.fault != "":
		s.router.Failed(now, m.proxy, m.fault)
	case m.late:
		s.router.TimedOut(now, m.proxy)
	case !m.unsent:
		s.router.Reached(now, m.proxy)
	}
	if !m.unsent {
		return
	}
	for _, id := range m.ids {
		c := s.pending[id]
		if c == nil || c.proxy != m.proxy || c.late {
			continue
		}
		t.route(now, c)
	}
}

// ServeHTTP takes the answers of a call proxy and returns the leader's clock.
func (l *Leader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, codec.MaxCallBatchBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch, err := codec.DecodeAnswerBatch(body)
	if err != nil {
		l.bad.log(r.RemoteAddr, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	known := make(chan bool, 1)
	select {
	case l.mailbox <- answersMessage{batch, known}:
	case <-r.Context().Done():
		return
	}
	select {
	case ok := <-known:
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
	case <-r.Context().Done():
		return
	}
	boot, err := bootclock.Now()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	reply, err := codec.EncodeClockReading(callproxy.ClockReading{Clock: int64(boot)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An error means that the proxy has gone; it sends the answers again.
	_, _ = w.Write(reply)
}
