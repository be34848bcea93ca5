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
	renewTimeout  = 2 * time.Second
	watchWait     = 5 * time.Second // the entry process answers after so long at the latest
	watchTimeout  = watchWait + 2*time.Second
	failurePause  = 100 * time.Millisecond
	maxAnswerSize = 4 << 20 // bytes
)

// sender is a task that owns one HTTP connection to an entry process and sends
// one sync at a time. It moves to the next entry process after a failure.
type sender struct {
	settings    Settings
	incarnation cell.Incarnation
	kind        string
	logger      *eventlog.Logger
	client      *http.Client
	current     int
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newSender(s Settings, incarnation cell.Incarnation, kind string, dial dialFunc, logger *eventlog.Logger) *sender {
	return &sender{
		settings: s, incarnation: incarnation, kind: kind, logger: logger,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dial}},
	}
}

func (s *sender) run(ctx context.Context, syncs <-chan agent.Sync, answers chan<- agent.Response) {
	for {
		select {
		case <-ctx.Done():
			return
		case sync := <-syncs:
			select {
			case answers <- s.send(ctx, sync):
			case <-ctx.Done():
				return
			}
		}
	}
}

// send posts one sync. After a failure the next one goes to another entry
// process.
func (s *sender) send(ctx context.Context, sync agent.Sync) agent.Response {
	synced, err := s.post(ctx, s.message(sync))
	if err != nil {
		s.current = (s.current + 1) % len(s.settings.Entries)
		s.logger.Log(eventSyncFailed, zap.String("kind", s.kind), zap.Error(err))
		if sync.Sequence == 0 {
			_ = pause.For(ctx, failurePause)
		}
		return agent.Response{Failed: true, Sequence: sync.Sequence}
	}
	return toAnswer(synced)
}

func (s *sender) message(sync agent.Sync) api.WorkerSync {
	capacity := s.settings.capacity()
	message := api.WorkerSync{
		Incarnation: s.incarnation, Epoch: sync.Epoch, Sequence: sync.Sequence,
		Region:        cell.Region(s.settings.Region),
		FailureDomain: cell.FailureDomain(s.settings.FailureDomain),
		Rack:          cell.Rack(s.settings.Rack),
		Pool:          cell.Pool(s.settings.Pool),
		MilliCPU:      capacity.MilliCPU, MemoryBytes: capacity.MemoryBytes, Accelerators: capacity.Accelerators,
		Version: sync.Version, Leaving: sync.Leaving,
	}
	if sync.Sequence == 0 {
		message.MaxWaitMillis = watchWait.Milliseconds()
	}
	for _, report := range sync.Reports {
		message.Reports = append(message.Reports, api.TaskReport{
			Allocation: report.Allocation, Outcome: string(report.Outcome), Detail: report.Detail,
			UsedMilliCPU: report.Used.MilliCPU, UsedMemoryBytes: report.Used.MemoryBytes,
		})
	}
	return message
}

func (s *sender) post(ctx context.Context, message api.WorkerSync) (api.WorkerSynced, error) {
	timeout := renewTimeout
	if message.Sequence == 0 {
		timeout = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return api.WorkerSynced{}, err
	}
	url := fmt.Sprintf("http://%s/v1/workers/%s/sync", s.settings.Entries[s.current], s.settings.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return api.WorkerSynced{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return api.WorkerSynced{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return api.WorkerSynced{}, err
	}
	if response.StatusCode != http.StatusOK {
		return api.WorkerSynced{}, fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	var synced api.WorkerSynced
	return synced, json.Unmarshal(content, &synced)
}

func toAnswer(synced api.WorkerSynced) agent.Response {
	answer := agent.Response{
		Epoch: synced.Epoch, Sequence: synced.Sequence, Granted: synced.Granted,
		EpochEnded: synced.Reason == api.ReasonEpochEnded,
		Refused:    synced.Reason == api.ReasonNotAdmitted,
		Terms: lease.Terms{
			Duration:   time.Duration(synced.LeaseMillis) * time.Millisecond,
			StopMargin: time.Duration(synced.StopMarginMillis) * time.Millisecond,
			DriftPPM:   synced.DriftPPM,
		},
		SyncInterval: time.Duration(synced.SyncIntervalMillis) * time.Millisecond,
		Changed:      synced.Changed, Version: synced.Version,
	}
	for _, a := range synced.Assignments {
		answer.Tasks = append(answer.Tasks, agent.Task{
			Allocation: a.Allocation, Job: a.Job, Index: a.Task,
			Size:    cell.Resources{MilliCPU: a.MilliCPU, MemoryBytes: a.MemoryBytes, Accelerators: a.Accelerators},
			Command: a.Command, RunTime: time.Duration(a.RunMillis) * time.Millisecond,
			Stop: agent.StopKind(a.Stop), KeepOnDisconnect: a.KeepOnDisconnect,
		})
	}
	return answer
}
