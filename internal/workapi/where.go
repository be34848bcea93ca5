package workapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/api"
)

// LocalState answers queries from the state that the control replica in this process has applied.
type LocalState interface {
	ReadLocal(ctx context.Context, query state.Query) (state.Answer, error)
}

// whereTimeout bounds the wait for the replica's task.
const whereTimeout = 2 * time.Second

// WhereHandler answers operators where a job would go now, from the state of the control replica in this
// process, which need not lead. It sends nothing and changes nothing.
func WhereHandler(local LocalState) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, err := parseWhere(r.URL.Query())
		if err != nil {
			writeWhere(w, http.StatusBadRequest, api.Problem{Reason: "malformed", Detail: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), whereTimeout)
		defer cancel()
		answer, err := local.ReadLocal(ctx, state.Query{Where: &query})
		if err != nil || answer.Where == nil {
			writeWhere(w, http.StatusServiceUnavailable, api.Problem{Reason: "not-ready"})
			return
		}
		where := api.Where{AsOf: answer.Where.AsOf, Explanation: answer.Where.Explanation}
		if !where.AsOf.IsZero() {
			where.AgeMillis = max(time.Since(where.AsOf).Milliseconds(), 0)
		}
		writeWhere(w, http.StatusOK, where)
	})
}

func writeWhere(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

var errWhereNumber = merry.Sentinel("not a number in range")

// maxWhereTasks bounds the tasks of a described job.
const maxWhereTasks = 10_000

// parseWhere reads the query of a request: the id of a known job, or the description of a job with one
// step.
func parseWhere(values url.Values) (workload.ExplainQuery, error) {
	if id := values.Get("job"); id != "" {
		return workload.ExplainQuery{Job: workload.JobID(id)}, nil
	}
	var failed error
	number := func(name string, least, most int64) int64 {
		text := values.Get(name)
		if text == "" {
			return least
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < least || n > most {
			failed = merry.Wrap(errWhereNumber, merry.AppendMessage(name))
		}
		return n
	}
	const most = 1 << 40
	step := workload.StepSpec{
		Tasks:         int(number("tasks", 1, maxWhereTasks)),
		Size:          workload.Resources{MilliCPU: number("milli_cpu", 0, most), MemoryMB: number("memory_mb", 0, most), GPUs: number("gpus", 0, most)},
		Estimate:      time.Duration(number("estimate_ms", 0, 1<<30)) * time.Millisecond,
		Gang:          values.Get("gang") == "true",
		RequiredLabel: values.Get("label"),
		MaxPerWorker:  int(number("max_per_worker", 0, maxWhereTasks)),
	}
	return workload.ExplainQuery{
		Team: workload.TeamName(values.Get("team")),
		Spec: workload.JobSpec{Queue: values.Get("queue"), Steps: []workload.StepSpec{step}},
	}, failed
}
