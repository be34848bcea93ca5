package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// statusByReason maps reason codes to HTTP statuses. The status of all others is 503.
var statusByReason = map[exchange.Reason]int{
	exchange.ReasonBadRequest:    http.StatusBadRequest,
	exchange.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	exchange.ReasonNoService:     http.StatusNotFound,
	exchange.ReasonShareExceeded: http.StatusTooManyRequests,
	exchange.ReasonDeadline:      http.StatusGatewayTimeout,
	exchange.ReasonConnectFailed: http.StatusBadGateway,
	exchange.ReasonBrokenAnswer:  http.StatusBadGateway,
	exchange.ReasonKeyReused:     http.StatusConflict,
	exchange.ReasonKeyRunning:    http.StatusConflict,
	exchange.ReasonKeyUnknown:    http.StatusConflict,
}

func reasonStatus(reason exchange.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Limits of the random Retry-After of refusals without a queue. It is random so that
// callers that were refused at the same time do not all retry at the same time.
const (
	retryAfterMinSeconds = 1
	retryAfterMaxSeconds = 5
)

func randomRetryAfter() time.Duration {
	seconds := retryAfterMinSeconds + rand.IntN(retryAfterMaxSeconds-retryAfterMinSeconds+1)
	return time.Duration(seconds) * time.Second
}

// refusalBody is the JSON body of an answer that the gateway generates.
type refusalBody struct {
	Outcome state.Outcome   `json:"outcome"`
	Reason  exchange.Reason `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
}

// generatedAnswer is an answer that the gateway generates.
type generatedAnswer struct {
	status     int
	body       refusalBody
	retryAfter time.Duration // 0 for none
}

func (a generatedAnswer) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(backendapi.HeaderOutcome, string(a.body.Outcome))
	header.Set(backendapi.HeaderReason, string(a.body.Reason))
	if a.retryAfter > 0 {
		header.Set(backendapi.HeaderRetryAfter, strconv.FormatInt(int64(a.retryAfter/time.Second), 10))
	}
	encoded, err := json.Marshal(a.body)
	if err != nil {
		encoded = nil // cannot happen, because all fields are strings
	}
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(a.status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(encoded)
}

// writeReplay sends a stored answer.
func writeReplay(w http.ResponseWriter, answer state.StoredAnswer) {
	header := w.Header()
	for _, field := range answer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(backendapi.HeaderOutcome, string(state.OutcomeDone))
	w.WriteHeader(answer.Status)
	// A failed write means that the caller has disconnected; it may repeat the
	// request.
	_, _ = w.Write(answer.Body)
}
