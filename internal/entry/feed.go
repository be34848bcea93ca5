package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/relay"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

const (
	// maxFeedWait is how long the leader may hold a feed call that has nothing to
	// report. A leader that became unreachable is noticed only after this time, so
	// it is much shorter than the 15 s within which a cell file must be in force
	// everywhere.
	maxFeedWait = 2 * time.Second
	// feedTimeout limits a feed call including its retries.
	feedTimeout = 3 * maxFeedWait
	// feedRetryDelay is the delay after a failed call.
	feedRetryDelay = 100 * time.Millisecond
	// feedRestartDelay is the delay before a call is repeated with a changed list of
	// workers, so that workers that attach at the same time share one call.
	feedRestartDelay = 50 * time.Millisecond
	// joinTimeout limits one attempt to join.
	joinTimeout = 5 * time.Second
)

// feed is the task that owns this process's membership and its copy of the
// configuration in force. It passes changes on to the gateway and the relay.
type feed struct {
	client  *controlclient.Client
	self    state.Member
	gateway callerGateway
	logger  *eventlog.Logger
	metrics *metrics.Set

	attached   chan []relay.AttachedWorker // latest list; capacity 1
	assigned   chan<- []state.WorkerView
	configured chan<- bool

	joined         bool
	file           cellconfig.File
	digest         string
	membersVersion uint64
}

// callerGateway is the part of gateway.Gateway that the feed uses.
type callerGateway interface {
	SetConfig(file cellconfig.File, confirmedAt time.Time)
	SetMembers(members []state.Member)
	SetIncarnation(incarnation cell.Incarnation)
}

func (f *feed) run(ctx context.Context) {
	var workers []relay.AttachedWorker
	for ctx.Err() == nil {
		if !f.joined && !f.join(ctx) {
			_ = pause.For(ctx, feedRetryDelay)
			continue
		}
		workers = f.callOnce(ctx, workers)
	}
}

// join makes this process a member of the cell. Its incarnation is its start
// time. If the clock was set back, it is one more than the incarnation that the
// cell knows.
func (f *feed) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := f.client.Propose(ctx, state.Command{JoinMember: &state.JoinMember{Member: f.self}})
	if err != nil {
		f.logger.Log(eventJoinRefused, zap.Error(err))
		return false
	}
	if result.Refusal == state.RefusalStaleIncarnation {
		f.raiseIncarnation(ctx)
		return false
	}
	if result.Refusal != state.RefusalNone {
		f.logger.Log(eventJoinRefused, zap.String("refusal", string(result.Refusal)))
		return false
	}
	f.joined = true
	f.membersVersion = 0
	f.gateway.SetIncarnation(f.self.Incarnation)
	f.logger.Log(eventJoined, zap.Uint64("incarnation", uint64(f.self.Incarnation)))
	return true
}

func (f *feed) raiseIncarnation(ctx context.Context) {
	answer, err := f.client.Read(ctx, state.Query{Members: &state.MembersQuery{}})
	if err != nil {
		return
	}
	for _, member := range answer.Members {
		if member.Name == f.self.Name {
			f.self.Incarnation = member.Incarnation + 1
		}
	}
	if len(answer.Members) == 0 {
		f.self.Incarnation++
	}
}

// feedResult is the result of one feed call.
type feedResult struct {
	sentAt   time.Time
	response *rpcpb.FeedResponse
	err      error
}

// callOnce makes one feed call and handles its result. It cancels the call if the
// list of attached workers changes, and returns the list for the next call.
func (f *feed) callOnce(ctx context.Context, workers []relay.AttachedWorker) []relay.AttachedWorker {
	call, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	results := make(chan feedResult, 1)
	request := f.request(workers)
	go func() {
		sentAt := time.Now()
		response, err := f.client.Feed(call, request)
		results <- feedResult{sentAt: sentAt, response: response, err: err}
	}()
	select {
	case workers = <-f.attached:
		f.metrics.SetGauge(metricAttachedWorkers, float64(len(workers)))
		cancel()
		<-results
		_ = pause.For(ctx, feedRestartDelay)
	case result := <-results:
		f.handleResult(ctx, result)
		workers = updateVersions(workers, result.response)
	}
	return workers
}

func (f *feed) request(workers []relay.AttachedWorker) *rpcpb.FeedRequest {
	request := &rpcpb.FeedRequest{
		Entry: string(f.self.Name), EntryIncarnation: uint64(f.self.Incarnation),
		Generation: uint64(f.file.Generation), MaxWaitMillis: uint32(maxFeedWait.Milliseconds()),
		MembersVersion: f.membersVersion,
	}
	for _, w := range workers {
		request.Workers = append(request.Workers, &rpcpb.WorkerVersion{
			Worker: string(w.Worker), Epoch: uint64(w.Epoch), Version: w.Version,
		})
	}
	return request
}

// updateVersions sets the versions from the response, so that the next call does
// not request the same assignments again.
func updateVersions(workers []relay.AttachedWorker, response *rpcpb.FeedResponse) []relay.AttachedWorker {
	if response == nil {
		return workers
	}
	byWorker := map[string]*rpcpb.WorkerAssignments{}
	for _, assignments := range response.Assignments {
		byWorker[assignments.Worker] = assignments
	}
	for i := range workers {
		if changed := byWorker[string(workers[i].Worker)]; changed != nil {
			workers[i].Epoch = cell.Epoch(changed.Epoch)
			workers[i].Version = changed.Version
		}
	}
	return workers
}

func (f *feed) handleResult(ctx context.Context, result feedResult) {
	if result.err != nil {
		if ctx.Err() == nil {
			f.metrics.Add(metricFeedFailures, "", 1)
			f.logger.Log(eventFeedFailed, zap.Error(result.err))
			_ = pause.For(ctx, feedRetryDelay)
		}
		return
	}
	response := result.response
	if response.Left {
		f.joined = false
		f.self.Incarnation++
		return
	}
	f.handleConfig(ctx, result)
	if response.MembersVersion != f.membersVersion {
		f.membersVersion = response.MembersVersion
		f.gateway.SetMembers(toMembers(response.Members))
	}
	if len(response.Assignments) > 0 {
		select {
		case f.assigned <- toWorkerViews(response.Assignments):
		case <-ctx.Done():
		}
	}
}

// handleConfig puts a newer file in force or confirms the present one. The time
// of confirmation is the time at which the call was sent.
func (f *feed) handleConfig(ctx context.Context, result feedResult) {
	if len(result.response.Config) > 0 {
		f.applyConfig(result.response.Config)
	}
	if f.file.Generation == 0 {
		return
	}
	f.gateway.SetConfig(f.file, result.sentAt)
	select {
	case f.configured <- true:
	case <-ctx.Done():
	}
}

func (f *feed) applyConfig(encoded []byte) {
	record, err := codec.DecodeConfigRecord(encoded)
	if err != nil {
		f.logger.Log(eventConfigInvalid, zap.Error(err))
		return
	}
	if record.Generation < f.file.Generation {
		f.metrics.Add(metricOlderConfigsIgnored, "", 1)
		f.logger.Log(eventOlderConfigIgnored, zap.Uint64("generation", uint64(record.Generation)))
		return
	}
	file, faults := cellconfig.Parse(record.Body)
	if len(faults) > 0 {
		f.logger.Log(eventConfigInvalid, zap.Error(faults))
		return
	}
	f.file, f.digest = file, record.Digest
	f.metrics.SetGauge(metricGeneration, float64(file.Generation))
	f.logger.Log(eventConfigInForce, zap.Uint64("generation", uint64(file.Generation)), zap.String("digest", record.Digest))
}

// toMembers converts the list of members. It includes this process, because the
// gateway divides the backend servers among all members.
func toMembers(members []*rpcpb.Member) []state.Member {
	all := make([]state.Member, 0, len(members))
	for _, m := range members {
		all = append(all, state.Member{
			Name: cell.EntryName(m.Name), Incarnation: cell.Incarnation(m.Incarnation), Address: m.Address,
			Region: cell.Region(m.Region), FailureDomain: cell.FailureDomain(m.FailureDomain),
		})
	}
	return all
}
