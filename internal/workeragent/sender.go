package workeragent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/internal/api"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/pause"
)

const (
	renewTimeout     = 2 * time.Second
	watchMaxWait     = 5 * time.Second // longest time that the entry process holds a watch request
	watchTimeout     = watchMaxWait + 2*time.Second
	failoverDelay    = 100 * time.Millisecond
	maxResponseBytes = 4 << 20
)

// sender is a task that owns one HTTP connection to an entry process and sends one sync at a time.
// After a failure it uses the next entry process.
type sender struct {
	settings    Settings
	incarnation cell.Incarnation
	kind        string
	logger      *eventlog.Logger
	client      *http.Client
	entryIndex  int
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newSender(s Settings, incarnation cell.Incarnation, kind string, dial dialFunc, logger *eventlog.Logger) *sender {
	return &sender{
		settings: s, incarnation: incarnation, kind: kind, logger: logger,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dial}},
	}
}

func (s *sender) run(ctx context.Context, syncs <-chan agent.Sync, responses chan<- agent.Response) {
	for {
		select {
		case <-ctx.Done():
			return
		case sync := <-syncs:
			select {
			case responses <- s.send(ctx, sync):
			case <-ctx.Done():
				return
			}
		}
	}
}

// send posts one sync. After a failure the next sync goes to the next entry process. A failed watch
// is delayed here; the agent itself delays the retry of a renewal.
func (s *sender) send(ctx context.Context, sync agent.Sync) agent.Response {
	response, err := s.post(ctx, s.newRequest(sync))
	if err != nil {
		s.entryIndex = (s.entryIndex + 1) % len(s.settings.Entries)
		s.logger.Log(eventSyncFailed, zap.String("kind", s.kind), zap.Error(err))
		if sync.Sequence == 0 {
			_ = pause.For(ctx, failoverDelay)
		}
		return agent.Response{Failed: true, Sequence: sync.Sequence}
	}
	return toAgentResponse(response)
}

func (s *sender) newRequest(sync agent.Sync) api.WorkerSyncRequest {
	capacity := s.settings.capacity()
	message := api.WorkerSyncRequest{
		Incarnation: s.incarnation, Epoch: sync.Epoch, Sequence: sync.Sequence,
		Region:        cell.Region(s.settings.Region),
		FailureDomain: cell.FailureDomain(s.settings.FailureDomain),
		Rack:          cell.Rack(s.settings.Rack),
		Pool:          cell.Pool(s.settings.Pool),
		MilliCPU:      capacity.MilliCPU, MemoryBytes: capacity.MemoryBytes, Accelerators: capacity.Accelerators,
		Version: sync.Version, Leaving: sync.Leaving,
	}
	if sync.Sequence == 0 {
		message.MaxWaitMillis = watchMaxWait.Milliseconds()
	}
	for _, report := range sync.Reports {
		message.Reports = append(message.Reports, api.TaskReport{
			Allocation: report.Allocation, Outcome: string(report.Outcome), Detail: report.Detail,
			UsedMilliCPU: report.Used.MilliCPU, UsedMemoryBytes: report.Used.MemoryBytes,
		})
	}
	return message
}

func (s *sender) post(ctx context.Context, message api.WorkerSyncRequest) (api.WorkerSyncResponse, error) {
	timeout := renewTimeout
	if message.Sequence == 0 {
		timeout = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return api.WorkerSyncResponse{}, err
	}
	url := fmt.Sprintf("http://%s/v1/workers/%s/sync", s.settings.Entries[s.entryIndex], s.settings.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return api.WorkerSyncResponse{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return api.WorkerSyncResponse{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return api.WorkerSyncResponse{}, err
	}
	if response.StatusCode != http.StatusOK {
		return api.WorkerSyncResponse{}, fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	var synced api.WorkerSyncResponse
	return synced, json.Unmarshal(content, &synced)
}

func toAgentResponse(wire api.WorkerSyncResponse) agent.Response {
	response := agent.Response{
		Epoch: wire.Epoch, Sequence: wire.Sequence, Granted: wire.Granted,
		EpochEnded: wire.Reason == api.ReasonEpochEnded,
		Refused:    wire.Reason == api.ReasonNotAdmitted,
		Terms: lease.Terms{
			Duration:   time.Duration(wire.LeaseMillis) * time.Millisecond,
			StopMargin: time.Duration(wire.StopMarginMillis) * time.Millisecond,
			DriftPPM:   wire.DriftPPM,
		},
		SyncInterval: time.Duration(wire.SyncIntervalMillis) * time.Millisecond,
		Changed:      wire.Changed, Version: wire.Version,
	}
	for _, a := range wire.Assignments {
		response.Tasks = append(response.Tasks, agent.Task{
			Allocation: a.Allocation, Job: a.Job, Index: a.Task,
			Size:    cell.Resources{MilliCPU: a.MilliCPU, MemoryBytes: a.MemoryBytes, Accelerators: a.Accelerators},
			Command: a.Command, RunTime: time.Duration(a.RunMillis) * time.Millisecond,
			Stop: agent.StopKind(a.Stop), KeepOnDisconnect: a.KeepOnDisconnect,
		})
	}
	return response
}
