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

// statuses are the HTTP statuses of the reason codes. Others are 503.
var statuses = map[exchange.Reason]int{
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

func statusOf(reason exchange.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Bounds of the Retry-After of refusals that did not pass a queue. The spread
// keeps callers that were refused together from returning together.
const (
	retryAfterMinSeconds = 1
	retryAfterMaxSeconds = 5
)

func spreadRetryAfter() time.Duration {
	seconds := retryAfterMinSeconds + rand.IntN(retryAfterMaxSeconds-retryAfterMinSeconds+1)
	return time.Duration(seconds) * time.Second
}

// refusalBody is the body of an answer that the gateway makes itself.
type refusalBody struct {
	Outcome state.Outcome   `json:"outcome"`
	Reason  exchange.Reason `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
}

// ownAnswer is an answer that the gateway makes itself.
type ownAnswer struct {
	status     int
	body       refusalBody
	retryAfter time.Duration // 0 for none
}

func (a ownAnswer) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(backendapi.HeaderOutcome, string(a.body.Outcome))
	header.Set(backendapi.HeaderReason, string(a.body.Reason))
	if a.retryAfter > 0 {
		header.Set(backendapi.HeaderRetryAfter, strconv.FormatInt(int64(a.retryAfter/time.Second), 10))
	}
	encoded, err := json.Marshal(a.body)
	if err != nil {
		encoded = nil // only strings: does not happen
	}
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(a.status)
	// The caller has gone where this fails; there is nobody to tell.
	_, _ = w.Write(encoded)
}

// writeReplay answers with a stored answer.
func writeReplay(w http.ResponseWriter, answer state.StoredAnswer) {
	header := w.Header()
	for _, field := range answer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(backendapi.HeaderOutcome, string(state.OutcomeDone))
	w.WriteHeader(answer.Status)
	// The caller has gone where this fails; it may repeat the request.
	_, _ = w.Write(answer.Body)
}
