package state

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// request is the record of a non-idempotent request with a key of the caller. Only the attempt that
// owns a running record may dispatch the request.
type request struct {
	key             RequestKey
	digest          uint64
	entry           cell.EntryName
	incarnation     cell.Incarnation
	attempt         uint64
	state           RequestState
	retention       time.Duration
	answer          *StoredAnswer
	answerID        uint64    // log index of the FinishRequest with the answer; 0 if no answer is stored
	expiresAt       time.Time // retention clock when the record expires; zero while it is running
	notRunAttempts  []uint64  // attempts that ended as not run, oldest first
	dispatchAttempt uint64    // attempt that may have dispatched the request; 0 for none
}

// maxNotRunAttempts limits the attempts that a record remembers as not run.
const maxNotRunAttempts = 16

// answerRef refers to a stored answer. It is stale if the answer of the record has another id.
type answerRef struct {
	key RequestKey
	id  uint64
}

// beginRequest records that an entry process is about to dispatch a request, and returns whether it
// may. A repeated command of the same attempt gets the same result, because its proposer may have
// lost the first one.
func (s *State) beginRequest(c BeginRequest) Result {
	if detail := beginProblem(c); detail != "" {
		return Result{Refusal: RefusalInvalid, Detail: detail}
	}
	member, joined := s.members[c.Entry]
	if !joined || member.Incarnation != c.Incarnation {
		return refuse(RefusalUnknownMember, "incarnation %d of entry process %q is not a member", c.Incarnation, truncate(string(c.Entry)))
	}
	r := s.requests[c.Key]
	switch {
	case r == nil && len(s.requests) >= MaxRequestRecords:
		return refuse(RefusalTooManyRequests, "%d requests are recorded, the limit", len(s.requests))
	case r == nil:
		r = &request{key: c.Key, digest: c.Digest}
		s.requests[c.Key] = r
		return s.grantDispatch(r, c)
	case r.digest != c.Digest:
		return refuse(RefusalKeyReused, "the key belongs to another request")
	case slices.Contains(r.notRunAttempts, c.Attempt):
		return refuse(RefusalAttemptFinished, "the attempt ended as not run")
	case r.state == RequestNotRun:
		return s.grantDispatch(r, c)
	}
	return s.existingRecord(r, c)
}

// beginProblem returns what is wrong with the values of a BeginRequest, or an empty string.
func beginProblem(c BeginRequest) string {
	switch {
	case c.Key.Key == "" || len(c.Key.Key) > maxKeyBytes:
		return "the key is empty or too long"
	case len(c.Key.Service) > maxNameBytes || len(c.Key.Team) > maxNameBytes:
		return "the service or the team is too long"
	case c.Attempt == 0:
		return "the attempt is 0"
	case c.Retention <= 0 || c.Retention > MaxRequestRetention:
		return "the retention is out of range"
	}
	return ""
}

// grantDispatch allows an attempt to dispatch the request.
func (s *State) grantDispatch(r *request, c BeginRequest) Result {
	s.setOwner(r, c)
	s.recordDispatch(r, c.Attempt)
	return Result{Request: &RequestResult{Dispatch: true, State: RequestRunning}}
}

// setOwner makes an attempt the owner of a running record.
func (s *State) setOwner(r *request, c BeginRequest) {
	r.state = RequestRunning
	r.entry, r.incarnation, r.attempt = c.Entry, c.Incarnation, c.Attempt
	r.retention = c.Retention
	s.indexRunning(r)
}

func (s *State) indexRunning(r *request) {
	if s.runningByEntry[r.entry] == nil {
		s.runningByEntry[r.entry] = map[RequestKey]bool{}
	}
	s.runningByEntry[r.entry][r.key] = true
}

// existingRecord returns the result of a BeginRequest whose record is running or has an outcome.
func (s *State) existingRecord(r *request, c BeginRequest) Result {
	owner := r.attempt == c.Attempt && r.entry == c.Entry && r.incarnation == c.Incarnation
	dispatch := r.state == RequestRunning && owner
	if dispatch {
		s.recordDispatch(r, c.Attempt)
	}
	return Result{Request: &RequestResult{Dispatch: dispatch, State: r.state, Answer: r.answer}}
}

// finishRequest records the outcome of a request. If the outcome became unknown because the entry
// process was removed, a late "done" is recorded. A late "not-run" is refused, because a repeated
// request may have been answered with "unknown", which promises that it is never dispatched again.
func (s *State) finishRequest(c FinishRequest) Result {
	r := s.requests[c.Key]
	switch {
	case r == nil:
		return refuse(RefusalUnknownRequest, "no record of this request")
	case c.Outcome != OutcomeDone && c.Outcome != OutcomeNotRun && c.Outcome != OutcomeUnknown:
		return refuse(RefusalInvalid, "outcome %q; expected done, not-run or unknown", truncate(string(c.Outcome)))
	case r.attempt != c.Attempt || r.entry != c.Entry:
		return s.finishByOtherAttempt(r, c)
	case r.state == RequestRunning, r.state == RequestUnknown && c.Outcome == OutcomeDone:
		s.recordOutcome(r, c)
		return requestResult(r, RefusalNone, "")
	case outcomeState(c.Outcome) == r.state:
		return requestResult(r, RefusalNone, "the outcome was recorded before")
	}
	return requestResult(r, RefusalAttemptFinished, fmt.Sprintf("the outcome is recorded as %s", r.state))
}

// finishByOtherAttempt returns the result of a FinishRequest whose attempt does not own the record.
func (s *State) finishByOtherAttempt(r *request, c FinishRequest) Result {
	if c.Outcome == OutcomeNotRun && slices.Contains(r.notRunAttempts, c.Attempt) {
		return Result{Detail: "the attempt was recorded as not run before"}
	}
	return requestResult(r, RefusalWrongAttempt, "the record belongs to another attempt")
}

func requestResult(r *request, refusal Refusal, detail string) Result {
	return Result{Refusal: refusal, Detail: detail, Request: &RequestResult{State: r.state}}
}

func outcomeState(o Outcome) RequestState {
	switch o {
	case OutcomeDone:
		return RequestFinished
	case OutcomeNotRun:
		return RequestNotRun
	}
	return RequestUnknown
}

// recordOutcome records the outcome of a request and starts the retention of its record.
func (s *State) recordOutcome(r *request, c FinishRequest) {
	s.endRunning(r, outcomeState(c.Outcome))
	switch c.Outcome {
	case OutcomeDone:
		s.storeAnswer(r, c.Answer)
	case OutcomeNotRun:
		r.dispatchAttempt = 0
		r.notRunAttempts = append(r.notRunAttempts, r.attempt)
		if extra := len(r.notRunAttempts) - maxNotRunAttempts; extra > 0 {
			r.notRunAttempts = slices.Delete(r.notRunAttempts, 0, extra)
		}
	}
}

// endRunning changes the state of a running record, removes it from the records owned by its entry
// process, and schedules its expiry.
func (s *State) endRunning(r *request, next RequestState) {
	delete(s.runningByEntry[r.entry], r.key)
	if len(s.runningByEntry[r.entry]) == 0 {
		delete(s.runningByEntry, r.entry)
	}
	r.state = next
	r.expiresAt = s.retentionClock.Add(r.retention)
	heap.Push(&s.expiryQueue, requestExpiry{at: r.expiresAt, key: r.key})
}

// storeAnswer stores an answer and removes the oldest answers above MaxAnswerBytes.
func (s *State) storeAnswer(r *request, answer *StoredAnswer) {
	if answer == nil {
		return
	}
	r.answer = answer
	r.answerID = s.index
	s.storedAnswers = append(s.storedAnswers, answerRef{key: r.key, id: r.answerID})
	s.answerBytes += answerSize(answer)
	for s.answerBytes > MaxAnswerBytes && len(s.storedAnswers) > 0 {
		oldest := s.storedAnswers[0]
		s.storedAnswers = s.storedAnswers[1:]
		if record := s.requests[oldest.key]; record != nil && record.answerID == oldest.id {
			s.dropAnswer(record)
		}
	}
}

func (s *State) dropAnswer(r *request) {
	if r.answer != nil {
		s.answerBytes -= answerSize(r.answer)
	}
	r.answer = nil
	r.answerID = 0
}

func answerSize(a *StoredAnswer) int64 {
	size := len(a.Body)
	for _, field := range a.Header {
		size += len(field.Name) + len(field.Value)
	}
	return int64(size)
}

// markRequestsUnknown sets the running records of an entry process to unknown.
func (s *State) markRequestsUnknown(entry cell.EntryName) {
	keys := make([]RequestKey, 0, len(s.runningByEntry[entry]))
	for key := range s.runningByEntry[entry] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		s.endRunning(s.requests[key], RequestUnknown)
	}
}

func compareKeys(a, b RequestKey) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Team), string(b.Team)); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// removeExpiredRequests removes the records whose retention has passed. An entry of the heap whose
// time differs from that of its record belongs to an earlier outcome and is ignored.
func (s *State) removeExpiredRequests() {
	for len(s.expiryQueue) > 0 && !s.retentionClock.Before(s.expiryQueue[0].at) {
		next := heap.Pop(&s.expiryQueue).(requestExpiry)
		r := s.requests[next.key]
		if r != nil && r.state != RequestRunning && r.expiresAt.Equal(next.at) {
			s.dropAnswer(r)
			delete(s.requests, r.key)
		}
	}
	s.trimAnswers()
}

// trimAnswers removes stale references from the front of the list of stored answers.
func (s *State) trimAnswers() {
	for len(s.storedAnswers) > 0 {
		oldest := s.storedAnswers[0]
		if r := s.requests[oldest.key]; r != nil && r.answerID == oldest.id {
			return
		}
		s.storedAnswers = s.storedAnswers[1:]
	}
}

// requestExpiry is the expiry time of a record.
type requestExpiry struct {
	at  time.Time
	key RequestKey
}

// expiryHeap is a min-heap of records by expiry time and then by key, so that the order does not
// depend on the order of insertion.
type expiryHeap []requestExpiry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return compareKeys(h[i].key, h[j].key) < 0
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(requestExpiry)) }

// Pop implements heap.Interface. It removes the last element of the slice.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = requestExpiry{}
	*h = (*h)[:last]
	return x
}
