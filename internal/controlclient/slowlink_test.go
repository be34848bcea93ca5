package controlclient

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/slowlink"
)

// largeAnswerReplica answers reads with a configuration of 1000 KiB, the size of several hundred
// queues.
type largeAnswerReplica struct{ rpcpb.Control }

// Propose succeeds, like that of fakeReplica.
func (largeAnswerReplica) Propose(ctx context.Context, request *rpcpb.ProposeRequest) (*rpcpb.ProposeResponse, error) {
	return new(fakeReplica).Propose(ctx, request)
}

func (largeAnswerReplica) Read(context.Context, *rpcpb.ReadRequest) (*rpcpb.ReadResponse, error) {
	config := &workload.Config{Version: 6, Document: bytes.Repeat([]byte("route"), 200<<10)}
	answer, err := codec.EncodeAnswer(state.Answer{Queues: &state.QueuesView{Version: 6, Config: config}})
	return &rpcpb.ReadResponse{Answer: answer}, err
}

func serveOverSlowLink(t *testing.T, stopAfter int) string {
	t.Helper()
	server := httptest.NewUnstartedServer(rpcpb.NewControlServer(largeAnswerReplica{}))
	server.Listener = slowlink.Listener{Listener: server.Listener, Rate: 2 * minLinkBytesPerSecond, StopAfter: stopAfter}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// Guards against an attempt timeout that ends while an answer is still arriving (incident inc1).
// The answer was requested again and again, the attempts filled the link, and no entry process
// received a configuration.
func TestAnswerThatIsStillArrivingIsNotCutOff(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	limits := WaitLimits{NotAccepted: time.Second, OutcomeUnknown: time.Second}
	answer, err := newClient(t, serveOverSlowLink(t, 0)).ReadWithin(ctx, state.Query{Queues: &state.QueuesQuery{}}, limits)
	if err != nil || answer.Queues == nil || len(answer.Queues.Config.Document) != 1000<<10 {
		t.Errorf("answer %v, error %v", answer.Queues != nil, err)
	}
}

// Guards against a command whose transfer takes longer than the attempt timeout and that is
// therefore sent again and again.
func TestLargeCommandPassesASlowLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	config := &workload.Config{Version: 6, Document: make([]byte, 500<<10)}
	_, err := newClient(t, serveOverSlowLink(t, 0)).Propose(ctx, state.Command{Workload: &workload.Command{Configure: config}})
	if err != nil {
		t.Error(err)
	}
}

// Guards against a call that keeps waiting for the rest of an answer after the replica became
// unreachable.
func TestAnswerThatStopsArrivingIsGivenUp(t *testing.T) {
	client := newClient(t, serveOverSlowLink(t, 64<<10))
	_, err := client.ReadWithin(t.Context(), state.Query{Queues: &state.QueuesQuery{}}, WaitLimits{NotAccepted: time.Second, OutcomeUnknown: time.Second})
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
}
