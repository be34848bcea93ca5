package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/connmemory"
)

// operatorsAPI serves the requests of operators: they submit and read cell files and
// read the status of the cell.
type operatorsAPI struct {
	responder
	control controlGroup
	entry   cell.EntryName
}

func (a operatorsAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/config", a.apply)
	mux.HandleFunc("POST /v1/config/check", a.check)
	mux.HandleFunc("GET /v1/config", a.get)
	mux.HandleFunc("GET /v1/config/{generation}", a.get)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/explain/job/{id}", a.explain)
}

// parse reads a cell file. It refuses an invalid file before anything is sent to the
// control group. The checks against the state are not made here.
func (a operatorsAPI) parse(w http.ResponseWriter, request *http.Request) ([]byte, cellconfig.File, bool) {
	body, ok := a.readBody(w, request, cellconfig.MaxFileBytes, connmemory.PerByte(requestFactor))
	if !ok {
		return nil, cellconfig.File{}, false
	}
	file, faults := cellconfig.Parse(body)
	if len(faults) > 0 {
		a.refuse(w, http.StatusUnprocessableEntity, api.Problem{
			Reason: string(state.RefusalFileFaults), Detail: "the file was refused as a whole", Faults: faults,
		})
		return nil, cellconfig.File{}, false
	}
	return body, file, true
}

func (a operatorsAPI) apply(w http.ResponseWriter, request *http.Request) {
	body, _, ok := a.parse(w, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	result, err := a.control.Propose(ctx, state.Command{
		ApplyFile: &state.ApplyFile{Body: body, From: submitter(request)},
	})
	switch {
	case err != nil:
		a.refuseError(w, err)
	case result.Refusal != state.RefusalNone || result.File == nil:
		a.refuseResult(w, result)
	default:
		a.writeJSON(w, http.StatusOK, api.CellFileAccepted{
			Generation: result.File.Generation, Digest: result.File.Digest,
			Repeated: result.File.Repeated, Changes: result.File.Changes,
		})
	}
}

// submitter returns the common name of the operator's certificate, or the remote
// address of a connection without TLS.
func submitter(request *http.Request) string {
	if request.TLS != nil && len(request.TLS.PeerCertificates) > 0 {
		return request.TLS.PeerCertificates[0].Subject.CommonName
	}
	return request.RemoteAddr
}

// check answers with the changes that a file would make. It does not make the checks
// against the state, which are part of the commit.
func (a operatorsAPI) check(w http.ResponseWriter, request *http.Request) {
	body, file, ok := a.parse(w, request)
	if !ok {
		return
	}
	record, ok := a.readRecord(w, request, 0)
	if !ok {
		return
	}
	accepted := api.CellFileAccepted{Generation: file.Generation, Digest: cellconfig.Digest(body)}
	if record != nil {
		inForce, _ := cellconfig.Parse(record.Body)
		accepted.Changes = cellconfig.Diff(inForce, file)
		accepted.Repeated = record.Digest == accepted.Digest
	}
	a.writeJSON(w, http.StatusOK, accepted)
}

// readRecord reads a configuration record. The result is nil if there is none.
func (a operatorsAPI) readRecord(w http.ResponseWriter, request *http.Request, generation cell.Generation) (*state.ConfigRecord, bool) {
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	answer, err := a.control.Read(ctx, state.Query{Config: &state.ConfigQuery{Generation: generation}})
	if err != nil {
		a.refuseError(w, err)
		return nil, false
	}
	return answer.Config, true
}

func (a operatorsAPI) get(w http.ResponseWriter, request *http.Request) {
	var generation uint64
	if text := request.PathValue("generation"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			a.refuse(w, http.StatusBadRequest, api.Problem{Reason: reasonBadRequest, Detail: "a generation is a number"})
			return
		}
		generation = parsed
	}
	record, ok := a.readRecord(w, request, cell.Generation(generation))
	if !ok {
		return
	}
	if record == nil {
		a.refuse(w, http.StatusNotFound, api.Problem{Reason: reasonNotFound, Detail: "no such generation is kept"})
		return
	}
	status, ok := a.readStatus(w, request)
	if !ok {
		return
	}
	a.writeJSON(w, http.StatusOK, api.Config{
		Generation: record.Generation, Digest: record.Digest, Submitter: record.Submitter, From: record.From,
		At: record.At, Text: string(record.Body), Entries: toAPIEntries(status),
	})
}

func (a operatorsAPI) readStatus(w http.ResponseWriter, request *http.Request) (*state.StatusView, bool) {
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	answer, err := a.control.Read(ctx, state.Query{Status: &state.StatusQuery{}})
	if err != nil {
		a.refuseError(w, err)
		return nil, false
	}
	if answer.Status == nil {
		answer.Status = &state.StatusView{}
	}
	return answer.Status, true
}

func (a operatorsAPI) status(w http.ResponseWriter, request *http.Request) {
	view, ok := a.readStatus(w, request)
	if !ok {
		return
	}
	a.writeJSON(w, http.StatusOK, api.Status{
		Entry: a.entry, Generation: view.Generation, Digest: view.Digest,
		Workers: view.Workers, Allocations: view.Allocations, Jobs: view.Jobs,
		Capacity: view.Capacity.String(), Reserved: view.Reserved.String(), Entries: toAPIEntries(view),
	})
}

func toAPIEntries(view *state.StatusView) []api.EntryGeneration {
	var entries []api.EntryGeneration
	for _, e := range view.Entries {
		entries = append(entries, api.EntryGeneration{Name: e.Name, Generation: e.Generation, AgeMillis: e.Age.Milliseconds()})
	}
	return entries
}

func (a operatorsAPI) explain(w http.ResponseWriter, request *http.Request) {
	id, ok := jobsAPI{responder: a.responder, control: a.control}.jobID(w, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), controlCallTimeout)
	defer cancel()
	answer, err := a.control.Read(ctx, state.Query{Explain: &state.ExplainQuery{Job: id}})
	if err != nil {
		a.refuseError(w, err)
		return
	}
	if answer.Explain == nil {
		a.refuse(w, http.StatusNotFound, api.Problem{Reason: reasonNotFound, Detail: "no such job, or it ended long ago"})
		return
	}
	a.writeJSON(w, http.StatusOK, api.Explanation{Job: id, State: answer.Explain.State, Lines: answer.Explain.Lines})
}
