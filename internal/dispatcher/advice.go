package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// LocalAdviser calls the adviser directly from this process.
type LocalAdviser interface {
	Ask(ctx context.Context, step workload.StepID, workers []workload.WorkerID) dispatch.Grant
}

// RelayAdviser forwards each call to the process that the call names as its requester.
type RelayAdviser struct {
	SelfAddress string
	Local       LocalAdviser
	Client      *http.Client
}

// Advise implements Adviser. If the call fails, the grant is empty.
func (r *RelayAdviser) Advise(ctx context.Context, call dispatch.AdviceCall) dispatch.Grant {
	if call.Requester == r.SelfAddress {
		return r.Local.Ask(ctx, call.Step, call.Workers)
	}
	request := &rpcpb.AdviseRequest{
		Job: string(call.Step.Job), Occurrence: int32(call.Step.Occurrence), Step: int32(call.Step.Step),
		TimeoutMillis: uint32(call.Timeout.Milliseconds()),
	}
	for _, worker := range call.Workers {
		request.Workers = append(request.Workers, string(worker))
	}
	response, err := rpcpb.NewRelayProtobufClient("http://"+call.Requester, r.Client).Advise(ctx, request)
	if err != nil {
		// The core logs the failure with the requester and the age of the call.
		return dispatch.Grant{}
	}
	if response.Busy {
		return dispatch.Grant{Busy: true}
	}
	grant := dispatch.Grant{
		OK: true, TicketTTL: time.Duration(response.TicketTtlMillis) * time.Millisecond,
		Tickets: make(map[workload.WorkerID]string, len(response.Tickets)),
	}
	for _, ticket := range response.Tickets {
		grant.Tickets[workload.WorkerID(ticket.Worker)] = ticket.Ticket
	}
	return grant
}

// relayServer implements rpcpb.Relay. It calls the adviser on behalf of other processes.
type relayServer struct{ local LocalAdviser }

// NewRelayHandler returns the HTTP handler of the Relay service and its path prefix.
func NewRelayHandler(local LocalAdviser) (string, http.Handler) {
	server := rpcpb.NewRelayServer(relayServer{local})
	return server.PathPrefix(), http.MaxBytesHandler(server, maxAdviseRequestBytes)
}

// maxAdviseRequestBytes leaves room for a request that names 100 workers.
const maxAdviseRequestBytes = 64 << 10

// Advise implements rpcpb.Relay.
func (r relayServer) Advise(ctx context.Context, request *rpcpb.AdviseRequest) (*rpcpb.AdviseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
	defer cancel()
	step := workload.StepID{Job: workload.JobID(request.Job), Occurrence: int(request.Occurrence), Step: int(request.Step)}
	workers := make([]workload.WorkerID, 0, len(request.Workers))
	for _, worker := range request.Workers {
		workers = append(workers, workload.WorkerID(worker))
	}
	grant := r.local.Ask(ctx, step, workers)
	if !grant.OK && !grant.Busy {
		return nil, twirp.NewError(twirp.Unavailable, "the adviser did not answer")
	}
	response := &rpcpb.AdviseResponse{Busy: grant.Busy, TicketTtlMillis: uint32(grant.TicketTTL.Milliseconds())}
	for worker, ticket := range grant.Tickets {
		response.Tickets = append(response.Tickets, &rpcpb.Ticket{Worker: string(worker), Ticket: ticket})
	}
	return response, nil
}
