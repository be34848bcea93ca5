// Package controlclient is a client of the control group. It finds the leader, proposes commands,
// reads, renews worker leases and polls the feed.
package controlclient

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Errors of the client.
var (
	// ErrUnavailable means that no leader accepted the call. A proposal that fails with it was not
	// accepted by any replica that this client reached.
	ErrUnavailable = merry.Sentinel("control group unavailable")
	// ErrOutcomeUnknown means that a proposal may or may not have been committed. The caller may
	// send it again, because commands are idempotent.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the proposal is unknown")
	// ErrMalformed means that a command could not be encoded and was not sent, or that the answer
	// to a read could not be decoded.
	ErrMalformed = merry.Sentinel("malformed control message")
)

var metricRetries = metrics.Declare("control_client_retries_total", metrics.KindCounter,
	"calls to the control group that were sent again, by reason")

const (
	// minBackoff and maxBackoff bound the wait between two attempts. An election takes 0.4 to
	// 0.8 s, so the wait stays well below that.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
	// minAttemptTimeout is the timeout of the first attempt. It is short, so that an unreachable
	// replica does not use up the deadline of the call. A commit takes well under 100 ms, even with
	// a delay of 8 ms one way and a slow disk. The timeout doubles with each further attempt, up to
	// maxAttemptTimeout, to allow for a slow leader.
	minAttemptTimeout = 250 * time.Millisecond
	maxAttemptTimeout = 600 * time.Millisecond
)

// minLinkBytesPerSecond is the least rate of a link: 2 Mbit/s.
const minLinkBytesPerSecond = 250_000

// maxTransferTime returns how long the transfer of n bytes may take.
func maxTransferTime(n int) time.Duration {
	return time.Duration(n) * time.Second / minLinkBytesPerSecond
}

// Client is safe for concurrent use. The calling goroutines share no state but send messages to
// the directory task.
type Client struct {
	directory *directory
	metrics   *metrics.Set
}

// New returns a client for the control replicas at the given addresses (IP and port). Calls are
// served only while Run is running.
func New(addresses []string, scheme string, httpClient *http.Client, set *metrics.Set) *Client {
	return &Client{directory: newDirectory(addresses, scheme, httpClient), metrics: set}
}

// Run runs the directory task until ctx ends.
func (c *Client) Run(ctx context.Context) { c.directory.run(ctx) }

// WaitLimits limit how long a call is retried without an answer. With a limit of 0 the call is
// retried until its context ends.
type WaitLimits struct {
	NotAccepted    time.Duration // if no replica can have accepted the command
	OutcomeUnknown time.Duration // if a replica may have accepted it
}

// Propose sends a command to the leader and retries until it is committed or ctx ends. Commands
// are idempotent, so a command that is sent twice takes effect once. A refusal is returned only if
// it applies to every copy that was sent. A copy that is refused after an earlier copy got no answer
// results in ErrOutcomeUnknown, because the earlier copy may have been or may still be carried out.
func (c *Client) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	return c.ProposeWithin(ctx, command, WaitLimits{})
}

// ProposeWithin is like Propose but ends at the limits, with ErrUnavailable or ErrOutcomeUnknown.
func (c *Client) ProposeWithin(ctx context.Context, command state.Command, limits WaitLimits) (state.Result, error) {
	encoded, err := codec.EncodeCommand(command)
	if err != nil {
		return state.Result{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	var response *rpcpb.ProposeResponse
	maybeAccepted, err := c.callLeader(ctx, maxTransferTime(len(encoded)), limits, func(ctx context.Context, control rpcpb.Control) error {
		var callErr error
		response, callErr = control.Propose(ctx, &rpcpb.ProposeRequest{Command: encoded})
		return callErr
	})
	if err != nil {
		return state.Result{}, err
	}
	result, err := codec.DecodeResult(response.Result)
	if err != nil {
		// The command is committed. The replica is of another version, and its result cannot be
		// decoded.
		return state.Result{}, callError(true, err)
	}
	if refusal := resultRefusal(result); maybeAccepted && refusal != "" {
		return state.Result{}, merry.Wrap(ErrOutcomeUnknown,
			merry.AppendMessagef("a copy was refused with %s after an earlier copy got no answer", refusal))
	}
	return result, nil
}

// resultRefusal returns the refusal in a result, or an empty string.
func resultRefusal(result state.Result) string {
	if result.Workload != nil && result.Workload.Refusal != workload.RefusalNone {
		return string(result.Workload.Refusal)
	}
	return string(result.Refusal)
}

// Read answers a query from the leader's current state.
func (c *Client) Read(ctx context.Context, query state.Query) (state.Answer, error) {
	return c.ReadWithin(ctx, query, WaitLimits{})
}

// ReadWithin is like Read but starts no attempt after the limits.
func (c *Client) ReadWithin(ctx context.Context, query state.Query, limits WaitLimits) (state.Answer, error) {
	encoded, err := codec.EncodeQuery(query)
	if err != nil {
		return state.Answer{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	var response *rpcpb.ReadResponse
	answerAfter := time.Duration(0)
	if query.StepJob != nil {
		answerAfter = state.StepJobWait
	}
	_, err = c.callLeader(ctx, answerAfter, limits, func(ctx context.Context, control rpcpb.Control) error {
		var callErr error
		response, callErr = control.Read(ctx, &rpcpb.ReadRequest{Query: encoded})
		return callErr
	})
	if errors.Is(err, ErrOutcomeUnknown) {
		// A read changes nothing, so its outcome cannot be unknown.
		err = merry.Wrap(ErrUnavailable, merry.AppendMessage(err.Error()))
	}
	if err != nil {
		return state.Answer{}, err
	}
	answer, err := codec.DecodeAnswer(response.Answer)
	if err != nil {
		return state.Answer{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return answer, nil
}

// Renew sends a batch of worker renewals and retries until it is answered or ctx ends. A renewal
// that is granted twice extends the lease once.
func (c *Client) Renew(ctx context.Context, request *rpcpb.RenewRequest) (*rpcpb.RenewResponse, error) {
	var response *rpcpb.RenewResponse
	_, err := c.callLeader(ctx, 0, WaitLimits{}, func(ctx context.Context, control rpcpb.Control) error {
		var callErr error
		response, callErr = control.Renew(ctx, request)
		return callErr
	})
	return response, err
}

// Feed polls the feed and retries until the poll is answered or ctx ends. The deadline of ctx must
// allow for the wait that the request asks for.
func (c *Client) Feed(ctx context.Context, request *rpcpb.FeedRequest) (*rpcpb.FeedResponse, error) {
	wait := time.Duration(request.MaxWaitMillis) * time.Millisecond
	var response *rpcpb.FeedResponse
	_, err := c.callLeader(ctx, wait, WaitLimits{}, func(ctx context.Context, control rpcpb.Control) error {
		var callErr error
		response, callErr = control.Feed(ctx, request)
		return callErr
	})
	return response, err
}

// SetMembers replaces the addresses of the members of the control group. A list that arrives while
// another one is pending is dropped, because the next one follows soon.
func (c *Client) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	select {
	case c.directory.memberUpdates <- members:
	default:
	}
}

// SetConfigured replaces the addresses that the client was created with. It is called by one task and
// does not wait.
func (c *Client) SetConfigured(addresses []string) {
	select {
	case <-c.directory.configuredUpdates:
	default:
	}
	c.directory.configuredUpdates <- addresses
}

type call func(ctx context.Context, control rpcpb.Control) error

// callLeader calls the leader and retries until a call is answered, ctx ends or a limit is
// reached. A replica may start its answer up to answerAfter later than usual. maybeAccepted
// reports whether an attempt without an answer may have been accepted, even if a later attempt was
// answered.
func (c *Client) callLeader(ctx context.Context, answerAfter time.Duration, limits WaitLimits, do call) (maybeAccepted bool, err error) {
	started := time.Now()
	backoff, timeout := minBackoff, minAttemptTimeout
	for {
		target, err := c.directory.leader(ctx)
		if err != nil {
			return maybeAccepted, callError(maybeAccepted, err)
		}
		progress, attemptCtx, end := newAttempt(ctx, answerAfter, timeout)
		err = do(attemptCtx, target.control)
		end()
		if err == nil {
			return maybeAccepted, nil
		}
		failure := classifyFailure(err, progress.connected.Load())
		err = merry.Prependf(err, "%s, %d bytes of the answer received", target.address, progress.received.Load())
		maybeAccepted = maybeAccepted || failure.maybeAccepted
		if ctx.Err() != nil {
			// The caller's context ended, which says nothing about the replica.
			return maybeAccepted, callError(maybeAccepted, err)
		}
		c.reportFailure(target, failure)
		wait := limits.NotAccepted
		if maybeAccepted {
			wait = limits.OutcomeUnknown
		}
		if failure.permanent || wait > 0 && time.Since(started) >= wait {
			return maybeAccepted, callError(maybeAccepted, err)
		}
		if err := pause.For(ctx, backoff); err != nil {
			return maybeAccepted, callError(maybeAccepted, err)
		}
		backoff, timeout = min(2*backoff, maxBackoff), min(2*timeout, maxAttemptTimeout)
	}
}

// callError returns the error of a call that is not retried. Its message contains the error of the
// last attempt.
func callError(maybeAccepted bool, cause error) error {
	if maybeAccepted {
		return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(cause), merry.AppendMessage(cause.Error()))
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(cause), merry.AppendMessage(cause.Error()))
}

func (c *Client) reportFailure(target target, failure failure) {
	c.metrics.Add(metricRetries, failure.reason, 1)
	c.directory.reportFailure(failedTarget{address: target.address, leader: failure.leader, unresponsive: failure.unresponsive})
}

// failure describes a failed call and how to continue after it.
type failure struct {
	reason        string
	leader        string // address of the leader, if the replica named it
	maybeAccepted bool   // the command may have been committed
	permanent     bool   // every further attempt would fail in the same way
	unresponsive  bool   // the replica did not answer while the call waited for it
}

// IsRefusedAsMalformed reports whether a replica could not decode a message. It may be of an earlier version.
func IsRefusedAsMalformed(err error) bool {
	var twirpErr twirp.Error
	return errors.As(err, &twirpErr) && isMalformed(twirpErr)
}

func isMalformed(err twirp.Error) bool {
	return err.Code() == twirp.InvalidArgument || err.Code() == twirp.Malformed
}

// leaderMeta is the twirp error metadata key with the leader's address.
const leaderMeta = "leader"

// classifyFailure interprets an error. A call without a connection has reached no replica; its
// error is that of the dialer or a timeout.
func classifyFailure(err error, connected bool) failure {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure{reason: "refused-connection"}
	}
	if !connected {
		return failure{reason: "no-connection", unresponsive: true}
	}
	twirpErr, ok := err.(twirp.Error)
	if !ok {
		return failure{reason: "transport", maybeAccepted: true, unresponsive: true}
	}
	if isMalformed(twirpErr) {
		return failure{reason: "malformed", permanent: true}
	}
	switch twirpErr.Code() {
	case twirp.FailedPrecondition:
		return failure{reason: "not-leader", leader: twirpErr.Meta(leaderMeta)}
	case twirp.ResourceExhausted:
		return failure{reason: "overloaded"}
	default:
		return failure{reason: "transport", maybeAccepted: true, unresponsive: true}
	}
}
