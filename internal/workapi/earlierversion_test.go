package workapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// earlierReplica has a new configuration at each query and refuses queries for changes.
type earlierReplica struct {
	rpcpb.Control
	version uint64
}

func (r *earlierReplica) Read(_ context.Context, request *rpcpb.ReadRequest) (*rpcpb.ReadResponse, error) {
	query, err := codec.DecodeQuery(request.Query)
	if err != nil || query.Queues.Changes {
		return nil, twirp.InvalidArgumentError("query", "unknown field")
	}
	r.version++
	answer, err := codec.EncodeAnswer(state.Answer{Queues: &state.QueuesView{Version: r.version, Config: &workload.Config{Version: r.version}}})
	return &rpcpb.ReadResponse{Answer: answer}, err
}

// Guards against an entry process that keeps its configuration for ever beside a replica of an earlier version.
func TestConfigurationOfAReplicaOfAnEarlierVersion(t *testing.T) {
	server := httptest.NewServer(rpcpb.NewControlServer(&earlierReplica{}))
	defer server.Close()
	logger, err := eventlog.New(t.Output(), "info", t.Name())
	if err != nil {
		t.Fatal(err)
	}
	control := controlclient.New([]string{server.Listener.Addr().String()}, "http", &http.Client{}, metrics.New())
	go control.Run(t.Context())
	service := NewJobService(JobServiceOptions{Control: control, Logger: logger, Metrics: metrics.New()})
	for poll, want := range []uint64{1, 1, 2, 3} {
		err := service.poll(t.Context())
		if refused := poll == 1; service.configVersion() != want || (err != nil) != refused {
			t.Fatalf("poll %d: version %d, want %d, error %v", poll, service.configVersion(), want, err)
		}
	}
}
