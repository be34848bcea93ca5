package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/connmemory"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// maxControlRequestBytes bounds a request to the Control service.
const maxControlRequestBytes = MaxCommandBytes + 64<<10

// Bounds of the lists in requests. The planned cell has 900 workers.
const (
	maxRenewals    = 10_000
	maxFeedWorkers = 10_000
)

// Handler serves the twirp services of the replica on its internal listener. The caller adds TLS
// to the listener.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	prefix, handler := replication.NewServer(r.opts.ID, r, r.opts.Logger, r.opts.Metrics)
	mux.Handle(prefix, handler)
	control := rpcpb.NewControlServer(&service{r})
	mux.Handle(control.PathPrefix(), http.MaxBytesHandler(control, maxControlRequestBytes))
	return mux
}

// service implements rpcpb.Control. It decodes requests, calls the replica task and encodes the
// responses.
type service struct{ replica *Replica }

func (s *service) refuse(err error) error {
	s.replica.opts.Metrics.Add(metricCallRefusals, errorReason(err), 1)
	return toTwirp(err)
}

// Propose implements rpcpb.Control.
func (s *service) Propose(ctx context.Context, request *rpcpb.ProposeRequest) (*rpcpb.ProposeResponse, error) {
	command, err := codec.DecodeCommand(request.Command)
	if err != nil || len(request.Command) > MaxCommandBytes || leaderOnly(command) {
		return nil, s.refuse(ErrMalformed)
	}
	command.At = time.Now()
	encoded, err := codec.EncodeCommand(command)
	if err != nil {
		return nil, s.refuse(ErrMalformed)
	}
	got, err := s.replica.propose(ctx, command, encoded)
	if err != nil {
		return nil, s.refuse(err)
	}
	result, err := codec.EncodeResult(got.result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpcpb.ProposeResponse{Result: result, Index: got.index}, nil
}

// leaderOnly reports whether only the leader may propose a command, because its safety depends on
// the leader's own clock or scheduler.
func leaderOnly(c state.Command) bool {
	return c.CommitPlan != nil || c.ExpireWorker != nil || c.Advance != nil
}

// Read implements rpcpb.Control.
func (s *service) Read(ctx context.Context, request *rpcpb.ReadRequest) (*rpcpb.ReadResponse, error) {
	query, err := codec.DecodeQuery(request.Query)
	if err != nil {
		return nil, s.refuse(ErrMalformed)
	}
	got, err := ask(ctx, s.replica, func(reply reply[readResult]) call { return readCall{reply, query} })
	if err != nil {
		return nil, s.refuse(err)
	}
	held := int64(0)
	if query.Queues != nil && query.Queues.Document {
		held = documentCopies * int64(got.answer.DocumentBytes())
	}
	if held > 0 && connmemory.HoldAnswer(ctx, held) != nil {
		return nil, s.refuse(ErrOverloaded)
	}
	answer, err := codec.EncodeAnswer(got.answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if held > 0 {
		connmemory.AwaitReader(ctx, held, held)
	}
	return &rpcpb.ReadResponse{Answer: answer, Index: got.index}, nil
}

// documentCopies is how often an answer holds a document until it is written: encoded, in the message, and in what is
// written, with the buffers of the encoders.
const documentCopies = 4

// Renew implements rpcpb.Control.
func (s *service) Renew(ctx context.Context, request *rpcpb.RenewRequest) (*rpcpb.RenewResponse, error) {
	if len(request.Renewals) > maxRenewals {
		return nil, s.refuse(ErrMalformed)
	}
	response, err := ask(ctx, s.replica, func(reply reply[*rpcpb.RenewResponse]) call { return renewCall{reply, request} })
	if err != nil {
		return nil, s.refuse(err)
	}
	return response, nil
}

// Feed implements rpcpb.Control.
func (s *service) Feed(ctx context.Context, request *rpcpb.FeedRequest) (*rpcpb.FeedResponse, error) {
	if len(request.Workers) > maxFeedWorkers || request.Entry == "" {
		return nil, s.refuse(ErrMalformed)
	}
	got, err := ask(ctx, s.replica, func(reply reply[feedResult]) call { return feedCall{reply, request} })
	if err != nil {
		return nil, s.refuse(err)
	}
	if got.config == nil {
		return got.response, nil
	}
	got.response.Config, err = codec.EncodeConfigRecord(*got.config)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return got.response, nil
}
