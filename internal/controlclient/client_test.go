package controlclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// fakeReplica is a control replica that answers with an error or a fixed result.
type fakeReplica struct {
	rpcpb.Control
	calls       atomic.Int64
	feedStarted chan struct{} // receives a value for each feed call; may be nil
	err         func() error
	result      state.Result
	undecodable bool // answer with a result that cannot be decoded
}

func (f *fakeReplica) Propose(context.Context, *rpcpb.ProposeRequest) (*rpcpb.ProposeResponse, error) {
	f.calls.Add(1)
	if f.err != nil {
		if err := f.err(); err != nil {
			return nil, err
		}
	}
	if f.undecodable {
		return &rpcpb.ProposeResponse{Result: []byte{0xff}}, nil
	}
	result, err := codec.EncodeResult(f.result)
	return &rpcpb.ProposeResponse{Result: result}, err
}

// Read returns the same errors as Propose.
func (f *fakeReplica) Read(context.Context, *rpcpb.ReadRequest) (*rpcpb.ReadResponse, error) {
	return nil, f.err()
}

// Feed waits until the caller gives up.
func (f *fakeReplica) Feed(ctx context.Context, _ *rpcpb.FeedRequest) (*rpcpb.FeedResponse, error) {
	f.calls.Add(1)
	select {
	case f.feedStarted <- struct{}{}:
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

func serve(t *testing.T, replica *fakeReplica) string {
	t.Helper()
	server := httptest.NewServer(rpcpb.NewControlServer(replica))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	client := New(addresses, "http", &http.Client{}, metrics.New())
	go client.Run(t.Context())
	return client
}

func notLeader(leader string) func() error {
	return func() error {
		return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(leaderMeta, leader)
	}
}

// Guards against a client that looks for another leader because a caller gave up. Each canceled
// feed call made all other calls look for the leader again, and a configuration change took 9 s on
// 50 workers instead of 1 s.
func TestCancelledCallKeepsTheLeader(t *testing.T) {
	contexts := map[string]func(context.Context) context.Context{
		"canceled":          func(ctx context.Context) context.Context { return ctx },
		"deadline exceeded": func(ctx context.Context) context.Context { return deadlineContext{ctx} },
	}
	for name, wrap := range contexts {
		t.Run(name, func(t *testing.T) {
			leader, follower := &fakeReplica{feedStarted: make(chan struct{}, 1)}, &fakeReplica{}
			client := newClient(t, serve(t, leader), serve(t, follower))
			for range 5 {
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					select {
					case <-leader.feedStarted:
						cancel()
					case <-ctx.Done():
					}
				}()
				_, err := client.Feed(wrap(ctx), &rpcpb.FeedRequest{MaxWaitMillis: 10_000})
				cancel()
				if !errors.Is(err, ErrOutcomeUnknown) {
					t.Fatalf("ended feed call: error %v, want ErrOutcomeUnknown", err)
				}
			}
			if leader.calls.Load() != 5 || follower.calls.Load() != 0 {
				t.Fatalf("calls to leader %d, to follower %d; want 5 and 0", leader.calls.Load(), follower.calls.Load())
			}
		})
	}
}

// deadlineContext reports the cancellation of its parent as an exceeded deadline. A real deadline
// could pass before the connection is established.
type deadlineContext struct{ context.Context }

func (c deadlineContext) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// Guards against a client that does not follow the named leader, and against reporting a command
// as not accepted although it may have been accepted.
func TestPropose(t *testing.T) {
	cases := map[string]struct {
		err  func(other string) func() error
		want error
	}{
		"follows the named leader": {err: notLeader},
		"skips an overloaded replica": {err: func(string) func() error {
			return func() error { return twirp.NewError(twirp.ResourceExhausted, "overloaded") }
		}},
		"gives up on a malformed command": {want: ErrUnavailable, err: func(string) func() error {
			return func() error { return twirp.NewError(twirp.InvalidArgument, "malformed") }
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leader, other := &fakeReplica{}, &fakeReplica{}
			address := serve(t, leader)
			other.err = c.err(address)
			client := newClient(t, serve(t, other), address)
			_, err := client.Propose(t.Context(), state.Command{Advance: &state.Advance{}})
			if !errors.Is(err, c.want) {
				t.Fatalf("Propose: %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against reporting a read, or a command that no replica received, as possibly carried out.
func TestUnreachableControlGroupIsUnavailable(t *testing.T) {
	closed := httptest.NewServer(nil)
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	client := newClient(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Propose(ctx, state.Command{Advance: &state.Advance{}}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("Propose: %v", err)
	}
	failing := newClient(t, serve(t, &fakeReplica{err: func() error { return twirp.InternalError("lost") }}))
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := failing.Read(ctx, state.Query{Status: &state.StatusQuery{}})
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("Read: error %v, want ErrUnavailable", err)
	}
}

// Guards against reporting a command as not accepted when only its answer was lost.
func TestLostAnswerHasUnknownOutcome(t *testing.T) {
	failing := &fakeReplica{err: func() error { return twirp.InternalError("lost") }}
	client := newClient(t, serve(t, failing))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Propose(ctx, state.Command{Advance: &state.Advance{}}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("Propose: %v", err)
	}
}

// Guards against returning a refusal while an earlier copy of the command may still be committed,
// and against an unknown outcome where no copy can be.
func TestRefusalAfterLostAnswerHasUnknownOutcome(t *testing.T) {
	cell := state.Result{Refusal: state.RefusalQueueFull}
	work := state.Result{Workload: &workload.Result{Refusal: workload.RefusalNoConfig}}
	for name, c := range map[string]struct {
		first  error // answer to the first attempt
		result state.Result
		want   error
	}{
		"cell refusal after a lost answer":    {twirp.InternalError("lost"), cell, ErrOutcomeUnknown},
		"work refusal after a lost answer":    {twirp.InternalError("lost"), work, ErrOutcomeUnknown},
		"success after a lost answer":         {twirp.InternalError("lost"), state.Result{}, nil},
		"refusal after an overloaded replica": {twirp.NewError(twirp.ResourceExhausted, "overloaded"), cell, nil},
		"refusal of the first attempt":        {nil, work, nil},
	} {
		t.Run(name, func(t *testing.T) {
			replica := &fakeReplica{result: c.result}
			replica.err = func() error {
				if replica.calls.Load() == 1 {
					return c.first
				}
				return nil
			}
			client := newClient(t, serve(t, replica))
			got, err := client.Propose(t.Context(), state.Command{Advance: &state.Advance{}})
			if !errors.Is(err, c.want) || err == nil && !reflect.DeepEqual(got, c.result) {
				t.Errorf("Propose: %+v, %v; want %+v, %v", got, err, c.result, c.want)
			}
		})
	}
}

// Guards against reporting a committed command as malformed because its result cannot be decoded.
func TestUndecodableResultHasUnknownOutcome(t *testing.T) {
	client := newClient(t, serve(t, &fakeReplica{undecodable: true}))
	_, err := client.Propose(t.Context(), state.Command{Advance: &state.Advance{}})
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrMalformed) {
		t.Errorf("Propose: %v", err)
	}
}

// Guards against reporting a command as not accepted when the server has read it from a kept-alive
// connection that then breaks, and later attempts find no server.
func TestBrokenKeptConnectionHasUnknownOutcome(t *testing.T) {
	for _, resets := range []bool{false, true} {
		replica := &fakeReplica{}
		var opened, broken atomic.Int64
		var server *httptest.Server
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if replica.calls.Load() == 0 {
				rpcpb.NewControlServer(replica).ServeHTTP(w, r)
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
			}
			broken.Add(1)
			server.Listener.Close()
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		client := newClient(t, strings.TrimPrefix(server.URL, "http://"))
		command := state.Command{Advance: &state.Advance{}}
		if _, err := client.Propose(t.Context(), command); err != nil {
			t.Fatal(err)
		}
		limits := WaitLimits{NotAccepted: time.Millisecond, OutcomeUnknown: 100 * time.Millisecond}
		_, err := client.ProposeWithin(t.Context(), command, limits)
		if !errors.Is(err, ErrOutcomeUnknown) || opened.Load() != 1 || broken.Load() != 1 {
			t.Errorf("reset %v: %v; sent %d times on %d connections, want 1 and 1", resets, err, broken.Load(), opened.Load())
		}
	}
}

// Guards against a submission that blocks until its client gives up, and against reporting it as
// not accepted when a replica may have accepted it.
func TestProposeWithinEndsAtItsLimits(t *testing.T) {
	limits := WaitLimits{NotAccepted: 50 * time.Millisecond, OutcomeUnknown: 150 * time.Millisecond}
	command := state.Command{Advance: &state.Advance{}}
	for name, c := range map[string]struct {
		err   func() error
		want  error
		least time.Duration
	}{
		"no leader":   {func() error { return twirp.NewError(twirp.FailedPrecondition, "not the leader") }, ErrUnavailable, limits.NotAccepted},
		"lost answer": {func() error { return twirp.InternalError("lost") }, ErrOutcomeUnknown, limits.OutcomeUnknown},
	} {
		client := newClient(t, serve(t, &fakeReplica{err: c.err}))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		started := time.Now()
		_, err := client.ProposeWithin(ctx, command, limits)
		if !errors.Is(err, c.want) || ctx.Err() != nil || time.Since(started) < c.least {
			t.Errorf("%s: %v after %v, context %v", name, err, time.Since(started), ctx.Err())
		}
		cancel()
	}
}

// Guards against reporting a command as possibly accepted when no connection was established.
func TestFailedDialIsNotAccepted(t *testing.T) {
	err := &url.Error{Op: "Post", Err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}}
	if got := classifyFailure(twirp.InternalErrorWith(err), false); got.maybeAccepted {
		t.Errorf("%+v", got)
	}
	err.Err = &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}
	if got := classifyFailure(twirp.InternalErrorWith(err), true); !got.maybeAccepted {
		t.Errorf("after a lost answer: %+v", got)
	}
}

// Guards against reporting a command as possibly accepted when every attempt ended before it had a
// connection, for example because the machines have no power.
func TestCallWithoutAConnectionIsNotAccepted(t *testing.T) {
	dialing := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	client := New([]string{"127.0.0.1:1", "127.0.0.1:2"}, "http", &http.Client{Transport: dialing}, metrics.New())
	go client.Run(t.Context())
	limits := WaitLimits{NotAccepted: minAttemptTimeout, OutcomeUnknown: time.Minute}
	_, err := client.ProposeWithin(t.Context(), state.Command{Advance: &state.Advance{}}, limits)
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("Propose: %v", err)
	}
}

// Guards against calls that return to an unresponsive replica while other replicas answer. After a
// partition, submissions took up to 1.8 s although a leader was elected within 0.9 s.
func TestUnresponsiveReplicaIsSkipped(t *testing.T) {
	silent, follower, leader := &fakeReplica{}, &fakeReplica{}, &fakeReplica{}
	hang := make(chan struct{})
	silent.err = func() error { <-hang; return twirp.InternalError("late") }
	elected := time.Now().Add(2 * minAttemptTimeout)
	for _, replica := range []*fakeReplica{follower, leader} {
		replica.err = func() error {
			if replica == leader && time.Now().After(elected) {
				return nil
			}
			return notLeader("")()
		}
	}
	client := newClient(t, serve(t, silent), serve(t, follower), serve(t, leader))
	t.Cleanup(func() { close(hang) }) // before the server is closed
	if _, err := client.Propose(t.Context(), state.Command{Advance: &state.Advance{}}); err != nil {
		t.Fatalf("Propose: %v", err)
	}
	if calls := silent.calls.Load(); calls != 1 {
		t.Errorf("the unresponsive replica was called %d times, want 1", calls)
	}
}
