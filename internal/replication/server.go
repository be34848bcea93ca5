package replication

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// maxRequestBytes bounds a request. A snapshot of the planned cell is below 64 MiB.
const maxRequestBytes = 128 << 20

// Status is the state that a replica reports to a replica with an empty data folder.
type Status struct {
	ID     replog.ReplicaID
	Formed bool // the replica has stored an entry of a formed group
	Term   uint64
	Commit uint64
	Leader replog.ReplicaID
}

// Receiver is the replica behind a server.
type Receiver interface {
	// Deliver passes messages to the replica task. It waits while the mailbox of the task is full,
	// until ctx ends.
	Deliver(ctx context.Context, messages []replog.Message) error
	Status(ctx context.Context) (Status, error)
	// HandleAnnouncement handles the announcement of another replica.
	HandleAnnouncement(ctx context.Context, from Announcement) (AnnounceReply, error)
}

// Server serves the twirp service Replication.
type Server struct {
	self     replog.ReplicaID
	receiver Receiver
	logger   *eventlog.Logger
	metrics  *metrics.Set
}

// NewServer returns the HTTP handler of the service and its path prefix.
func NewServer(self replog.ReplicaID, receiver Receiver, logger *eventlog.Logger, set *metrics.Set) (string, http.Handler) {
	server := rpcpb.NewReplicationServer(&Server{self: self, receiver: receiver, logger: logger, metrics: set})
	return server.PathPrefix(), http.MaxBytesHandler(server, maxRequestBytes)
}

// Step implements rpcpb.Replication.
func (s *Server) Step(ctx context.Context, request *rpcpb.StepRequest) (*rpcpb.StepResponse, error) {
	messages := make([]replog.Message, 0, len(request.Messages))
	for _, in := range request.Messages {
		m, err := decodeMessage(in)
		if err != nil {
			s.metrics.Add(metricMessagesDropped, "malformed", 1)
			s.logger.Log(eventMalformedMessage, zap.Uint64("from", in.From), zap.Error(err))
			continue
		}
		if m.To != s.self {
			s.metrics.Add(metricMessagesDropped, "other-replica", 1)
			continue
		}
		messages = append(messages, m)
	}
	if len(messages) == 0 {
		return &rpcpb.StepResponse{}, nil
	}
	if err := s.receiver.Deliver(ctx, messages); err != nil {
		s.metrics.Add(metricMessagesDropped, "mailbox-full", int64(len(messages)))
		return nil, twirp.NewError(twirp.Unavailable, "the replica does not take messages now")
	}
	return &rpcpb.StepResponse{}, nil
}

// Status implements rpcpb.Replication.
func (s *Server) Status(ctx context.Context, _ *rpcpb.StatusRequest) (*rpcpb.StatusResponse, error) {
	status, err := s.receiver.Status(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the replica does not answer now")
	}
	return &rpcpb.StatusResponse{
		ReplicaId: uint64(status.ID), Formed: status.Formed, Term: status.Term,
		CommitIndex: status.Commit, LeaderId: uint64(status.Leader),
	}, nil
}

// Announce implements rpcpb.Replication.
func (s *Server) Announce(ctx context.Context, request *rpcpb.AnnounceRequest) (*rpcpb.AnnounceResponse, error) {
	peer, ok := decodePeer(request.ReplicaId, request.Address)
	if !ok {
		s.metrics.Add(metricMessagesDropped, "malformed", 1)
		s.logger.Log(eventMalformedMessage, zap.Uint64("from", request.ReplicaId), zap.String("address", request.Address))
		return nil, twirp.InvalidArgumentError("address", "must be IP:port of a replica with an id above 0")
	}
	reply, err := s.receiver.HandleAnnouncement(ctx, Announcement{Peer: peer, Joining: request.Joining, ReadsAddresses: request.ReadsMemberAddresses})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the replica does not answer now")
	}
	response := &rpcpb.AnnounceResponse{FromLeader: reply.FromLeader, Member: reply.Member}
	for _, peer := range reply.Peers {
		response.Replicas = append(response.Replicas, &rpcpb.KnownReplica{Id: uint64(peer.ID), Address: peer.Address})
	}
	return response, nil
}
