package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// controlCallTimeout limits a call to the control group for an operator or a
// caller. It exceeds the 3 s within which an election must be complete.
const controlCallTimeout = 10 * time.Second

// Reason codes of the entry process. Those of the state machine are passed on
// unchanged.
const (
	reasonBadRequest         = "bad-request"
	reasonTooLarge           = "too-large"
	reasonNotFound           = "not-found"
	reasonControlUnavailable = "control-unavailable"
	reasonOutcomeUnknown     = "outcome-unknown"
	reasonOverloaded         = "overloaded"
	reasonNotReady           = "not-ready"
	reasonKeyMissing         = "key-missing"
	reasonDraining           = "draining"
)

// retryAfterSeconds is the Retry-After of answers with status 503. An election
// takes about as long.
const retryAfterSeconds = 1

// responder writes JSON answers and counts refusals.
type responder struct {
	metrics *metrics.Set
}

func (r responder) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (r responder) refuse(w http.ResponseWriter, status int, problem api.Problem) {
	r.metrics.Add(metricRefusals, problem.Reason, 1)
	w.Header().Set(api.HeaderReason, problem.Reason)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	r.writeJSON(w, status, problem)
}

// refuseError writes the answer for a failed call to the control group.
func (r responder) refuseError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, controlclient.ErrOutcomeUnknown):
		w.Header().Set(api.HeaderOutcome, string(state.OutcomeUnknown))
		r.refuse(w, http.StatusGatewayTimeout, api.Problem{
			Reason: reasonOutcomeUnknown, Detail: "the command may have been committed; sending it again is safe",
		})
	case errors.Is(err, controlclient.ErrMalformed):
		r.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: err.Error()})
	default:
		r.refuseUnavailable(w, state.OutcomeNotRun)
	}
}

// refuseUnavailable writes the answer for a call that no leader accepted.
func (r responder) refuseUnavailable(w http.ResponseWriter, outcome state.Outcome) {
	w.Header().Set(api.HeaderOutcome, string(outcome))
	r.refuse(w, http.StatusServiceUnavailable, api.Problem{
		Reason: reasonControlUnavailable, Detail: "no leader of the control group answered",
	})
}

// refuseResult writes the answer for a command that the state machine refused.
func (r responder) refuseResult(w http.ResponseWriter, result state.Result) {
	problem := api.Problem{Reason: string(result.Refusal), Detail: result.Detail}
	if result.File != nil {
		problem.Faults = result.File.Faults
	}
	w.Header().Set(api.HeaderOutcome, string(state.OutcomeNotRun))
	r.refuse(w, refusalStatus(result.Refusal), problem)
}

func refusalStatus(refusal state.Refusal) int {
	switch refusal {
	case state.RefusalGenerationUsed, state.RefusalGenerationOld, state.RefusalKeyReused, state.RefusalJobEnded:
		return http.StatusConflict
	case state.RefusalUnknownJob:
		return http.StatusNotFound
	case state.RefusalQueueFull:
		return http.StatusTooManyRequests
	case state.RefusalNoConfig:
		return http.StatusServiceUnavailable
	case state.RefusalUnknownTeam, state.RefusalPolicyNotAllowed:
		return http.StatusForbidden
	default:
		return http.StatusUnprocessableEntity
	}
}

// readBody reads a body of at most limit bytes. It refuses the request if the body
// is larger or cannot be read.
func (r responder) readBody(w http.ResponseWriter, request *http.Request, limit int64, cost connmemory.Cost) ([]byte, bool) {
	body, err := connmemory.ReadBody(w, request, limit, cost)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, connmemory.ErrNoRoom):
		w.Header().Set(api.HeaderOutcome, string(state.OutcomeUnknown))
		r.refuse(w, http.StatusServiceUnavailable, api.Problem{Reason: reasonOverloaded, Detail: "no memory for the body"})
	case errors.As(err, &tooLarge):
		r.refuse(w, http.StatusRequestEntityTooLarge, api.Problem{
			Reason: reasonTooLarge, Detail: "at most " + strconv.FormatInt(limit, 10) + " bytes",
		})
	case err != nil:
		r.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: err.Error()})
	}
	return body, err == nil
}

// readJSON decodes a JSON body. Unknown fields are an error.
func (r responder) readJSON(w http.ResponseWriter, request *http.Request, into any) bool {
	body, ok := r.readBody(w, request, maxJSONBytes, connmemory.JSON(requestFactor))
	if !ok {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		r.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: err.Error()})
		return false
	}
	return true
}

// requestFactor is what a request takes for each byte of its body: the decoder's copy, what it decodes, and the
// command to the control group.
const requestFactor = 3

// maxJSONBytes is the largest accepted JSON body. A worker's report of 500 tasks
// takes about 100 KB.
const maxJSONBytes = 1 << 20
