package ctl

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/workapi"
)

// localState answers from a workload state that is some seconds old.
type localState struct{ state *workload.State }

func (l localState) ReadLocal(_ context.Context, q state.Query) (state.Answer, error) {
	now := time.Now().Add(-3 * time.Second)
	return state.Answer{Where: &state.WhereView{Explanation: l.state.Explain(now, *q.Where), AsOf: now}}, nil
}

// An operator must get the workers, the reasons against the others and the age of the data from a replica
// that does not lead, for a known job and for one that is not sent. Wrong usage must not be taken for a job
// without demand.
func TestWhere(t *testing.T) {
	s := workload.New()
	apply := func(c workload.Command) { s.Apply(time.Time{}, 0, c) }
	apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "shop", MaxAttempts: 1}}, Teams: []workload.Team{{Name: "a", Weight: 2, Cap: workload.Resources{MilliCPU: 4000}}}}})
	for id, cpu := range map[workload.WorkerID]int64{"large": 4000, "small": 500} {
		apply(workload.Command{Register: &workload.Register{Worker: workload.Worker{ID: id, Boot: 1, Service: "shop", Capacity: workload.Resources{MilliCPU: cpu}}}})
	}
	apply(workload.Command{Submit: &workload.Submit{ID: "j", Spec: workload.JobSpec{Queue: "q", Steps: []workload.StepSpec{{Tasks: 2, Size: workload.Resources{MilliCPU: 100}, Estimate: time.Second}}}}})
	mux := http.NewServeMux()
	mux.Handle("GET "+api.WherePath, workapi.WhereHandler(localState{s}))
	entry := startEntry(t, mux.ServeHTTP)
	for name, c := range map[string]struct {
		args []string
		want []string // lines of the output, or part of the error after "error: "
	}{
		"known job":    {[]string{"j"}, []string{"queue q, priority 0, 1 jobs pending, queued", "step 0: 2 tasks wait, 0 run; 1s a task, ends in 1s", "  2 would fit on 2 workers, first small, large"}},
		"not sent":     {[]string{"--queue", "q", "--team", "a", "--milli-cpu", "1000"}, []string{"team a uses (none) of 4000 mCPU, weight 2", "  1 would fit on 1 workers, first large", "  1 workers: too-small"}},
		"refused":      {[]string{"--queue", "q", "--team", "a", "--milli-cpu", "3000", "--tasks", "2", "--gang"}, []string{"refused: team-cap"}},
		"unknown job":  {[]string{"none"}, []string{"refused: unknown-job"}},
		"both":         {[]string{"j", "--queue", "q"}, []string{"error: name either"}},
		"neither":      {nil, []string{"error: name either"}},
		"out of range": {[]string{"--queue", "q", "--tasks", "0"}, []string{"error: not a number in range: tasks"}},
	} {
		command, out := Command("test"), &bytes.Buffer{}
		command.SetArgs(append([]string{"where", "--entry", entry}, c.args...))
		command.SetOut(out)
		err := command.ExecuteContext(t.Context())
		for _, want := range c.want {
			if part, isError := strings.CutPrefix(want, "error: "); isError {
				if err == nil || !strings.Contains(err.Error(), part) {
					t.Errorf("%s: error %v, want %q", name, err, part)
				}
			} else if err != nil || !strings.Contains("\n"+out.String(), "\n"+want+"\n") || !strings.HasPrefix(out.String(), "data of a control replica, 3") {
				t.Errorf("%s: error %v and output\n%s\nwant line %q", name, err, out, want)
			}
		}
	}
}
