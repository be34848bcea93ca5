package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/controlclient"
)

// controlGroup is the part of controlclient.Client that the handlers use.
type controlGroup interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	Read(ctx context.Context, query state.Query) (state.Answer, error)
}

// jobsAPI serves the requests on jobs.
type jobsAPI struct {
	responder
	control controlGroup
}

func (a jobsAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", a.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", a.get)
	mux.HandleFunc("DELETE /v1/jobs/{id}", a.cancel)
}

func (a jobsAPI) submit(w http.ResponseWriter, request *http.Request) {
	key := request.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		a.refuse(w, http.StatusBadRequest, api.Problem{
			Reason: reasonKeyMissing, Detail: "a submission needs the header " + api.HeaderIdempotencyKey,
		})
		return
	}
	var submission api.JobSubmission
	if !a.readJSON(w, request, &submission) {
		return
	}
	spec, err := toJobSpec(submission)
	if err != nil {
		a.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	result, err := a.control.Propose(ctx, state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: spec}})
	if errors.Is(err, controlclient.ErrUnavailable) {
		// This request was not committed, but its key was not looked up either. An
		// earlier submission with the same key may have been accepted.
		a.refuseUnavailable(w, state.OutcomeUnknown)
		return
	}
	a.writeJobResult(w, http.StatusAccepted, result, err)
}

func (a jobsAPI) cancel(w http.ResponseWriter, request *http.Request) {
	id, ok := a.jobID(w, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	result, err := a.control.Propose(ctx, state.Command{CancelJob: &state.CancelJob{Job: id}})
	a.writeJobResult(w, http.StatusOK, result, err)
}

func (a jobsAPI) writeJobResult(w http.ResponseWriter, status int, result state.Result, err error) {
	switch {
	case err != nil:
		a.refuseError(w, err)
	case result.Refusal != state.RefusalNone || result.Job == nil:
		a.refuseResult(w, result)
	default:
		w.Header().Set(api.HeaderOutcome, string(state.OutcomeDone))
		a.writeJSON(w, status, api.JobAccepted{ID: result.Job.ID, State: result.Job.State, Repeated: result.Job.Repeated})
	}
}

func (a jobsAPI) get(w http.ResponseWriter, request *http.Request) {
	id, ok := a.jobID(w, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	answer, err := a.control.Read(ctx, state.Query{Job: &state.JobQuery{Job: id}})
	if err != nil {
		a.refuseError(w, err)
		return
	}
	if answer.Job == nil {
		a.refuse(w, http.StatusNotFound, api.Problem{Reason: reasonNotFound, Detail: "no such job, or it ended long ago"})
		return
	}
	a.writeJSON(w, http.StatusOK, toAPIJob(answer.Job))
}

func (a jobsAPI) jobID(w http.ResponseWriter, request *http.Request) (cell.JobID, bool) {
	id, err := strconv.ParseUint(request.PathValue("id"), 10, 64)
	if err != nil {
		a.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: "a job id is a number"})
		return 0, false
	}
	return cell.JobID(id), true
}

func toJobSpec(s api.JobSubmission) (cell.JobSpec, error) {
	memory, err := strictconf.ParseBytes(s.Memory)
	if err != nil {
		return cell.JobSpec{}, fmt.Errorf("memory: %w", err)
	}
	runTime, err := time.ParseDuration(s.RunTime)
	if err != nil {
		return cell.JobSpec{}, fmt.Errorf("run_time: %w", err)
	}
	const milliPerCore = 1000
	return cell.JobSpec{
		Name: s.Name, Team: s.Team, Policy: s.Policy, Priority: s.Priority, Tasks: s.Tasks,
		Size: cell.Resources{
			MilliCPU: int64(s.CPUs * milliPerCore), MemoryBytes: int64(memory), Accelerators: s.Accelerators,
		},
		RunTime: runTime, Region: s.Region, Checkpoints: s.Checkpoints, Command: s.Command,
	}, nil
}

func toAPIJob(view *state.JobView) api.Job {
	job := api.Job{
		ID: view.ID, Name: view.Spec.Name, Team: view.Spec.Team, State: view.State, SubmittedAt: view.SubmittedAt,
	}
	for _, t := range view.Tasks {
		job.Tasks = append(job.Tasks, api.Task{State: t.State, Attempts: t.Attempts, Worker: t.Worker, Detail: t.Detail})
	}
	return job
}
