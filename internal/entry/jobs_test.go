package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// fakeControl is a control group that answers every command alike.
type fakeControl struct {
	controlGroup
	result state.Result
	err    error
}

func (f fakeControl) Propose(context.Context, state.Command) (state.Result, error) {
	return f.result, f.err
}

// Checks the outcome that a caller is told. A submission that the control group does
// not answer must not be reported as not-run, because an earlier one with the same
// key may have been accepted.
func TestOutcomesOfSubmissions(t *testing.T) {
	const submission = `{"name":"n","team":"t","policy":"p","priority":"normal","tasks":1,"cpus":1,"memory":"1MiB","run_time":"1s"}`
	for name, c := range map[string]struct {
		control fakeControl
		method  string
		status  int
		outcome state.Outcome
	}{
		"no leader":         {fakeControl{err: merry.Wrap(controlclient.ErrUnavailable)}, http.MethodPost, 503, state.OutcomeUnknown},
		"lost answer":       {fakeControl{err: merry.Wrap(controlclient.ErrOutcomeUnknown)}, http.MethodPost, 504, state.OutcomeUnknown},
		"refused":           {fakeControl{result: state.Result{Refusal: state.RefusalQueueFull}}, http.MethodPost, 429, state.OutcomeNotRun},
		"accepted":          {fakeControl{result: state.Result{Job: &state.JobResult{ID: 1}}}, http.MethodPost, 202, state.OutcomeDone},
		"cancel, no leader": {fakeControl{err: merry.Wrap(controlclient.ErrUnavailable)}, http.MethodDelete, 503, state.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			jobsAPI{responder: responder{metrics.New()}, control: c.control}.register(mux)
			path, body := "/v1/jobs", submission
			if c.method == http.MethodDelete {
				path, body = "/v1/jobs/1", ""
			}
			request := httptest.NewRequest(c.method, path, strings.NewReader(body))
			request.Header.Set(api.HeaderIdempotencyKey, "k")
			answer := httptest.NewRecorder()
			mux.ServeHTTP(answer, request)
			if got := answer.Header().Get(api.HeaderOutcome); answer.Code != c.status || got != string(c.outcome) {
				t.Errorf("status %d, outcome %q, body %s; want %d, %q", answer.Code, got, answer.Body, c.status, c.outcome)
			}
			if retry := answer.Header().Get("Retry-After"); c.status == 503 && retry != "1" {
				t.Errorf("Retry-After %q", retry)
			}
		})
	}
}
