package entry

import (
	"net/http"

	"github.com/godwitlink/godwitlink/core/relay"
	"github.com/godwitlink/godwitlink/internal/api"
)

// workersAPI serves the requests of worker agents.
type workersAPI struct {
	responder
	syncs    chan<- syncMessage
	stopping <-chan struct{} // closed in a planned stop after callers' requests were drained
}

func (a workersAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/workers/{name}/sync", a.sync)
}

func (a workersAPI) sync(w http.ResponseWriter, request *http.Request) {
	var message api.WorkerSyncRequest
	if !a.readJSON(w, request, &message) {
		return
	}
	// The channel is buffered, so that the relay task does not block if the worker
	// has disconnected.
	reply := make(chan relay.Response, 1)
	select {
	case a.syncs <- syncMessage{sync: toSync(request.PathValue("name"), message), reply: reply}:
	default:
		a.refuse(w, http.StatusServiceUnavailable, api.Problem{Reason: reasonOverloaded})
		return
	}
	select {
	case response := <-reply:
		a.writeResponse(w, response)
	case <-a.stopping:
		a.refuse(w, http.StatusServiceUnavailable, api.Problem{Reason: reasonDraining})
	case <-request.Context().Done():
	}
}

func (a workersAPI) writeResponse(w http.ResponseWriter, response relay.Response) {
	if response.Status == relay.StatusUnavailable {
		a.refuse(w, http.StatusServiceUnavailable, api.Problem{Reason: reasonControlUnavailable})
		return
	}
	a.writeJSON(w, http.StatusOK, toAPISynced(response))
}
