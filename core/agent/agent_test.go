package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
)

// Guards against tasks that run after the lease has ended, start twice or start without a lease,
// against lost reports, and against unassigned tasks that keep running. Each file in testdata is
// one scenario of a worker.
func TestAgent(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &agentHarness{}
		h.agent = New(h.reading())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return h.run(t, d)
		})
	})
}

type agentHarness struct {
	agent    *Agent
	now      time.Duration
	sequence uint64
}

func (h *agentHarness) reading() lease.ClockReading {
	return lease.ClockReading{Monotonic: h.now, Wall: time.Unix(0, 0).Add(h.now)}
}

func (h *agentHarness) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		wait, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		h.now += wait
	case "response":
		h.agent.HandleResponse(h.reading(), h.parseResponse(t, d))
	case "ended":
		var id uint64
		var outcome string
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "outcome", &outcome)
		h.agent.TaskEnded(cell.AllocationID(id), Outcome(outcome), "")
	case "leave":
		h.agent.Leave(h.reading())
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return h.effects()
}

func (h *agentHarness) parseResponse(t *testing.T, d *datadriven.TestData) Response {
	response := Response{
		Sequence:     h.sequence,
		Granted:      !d.HasArg("watch") && !d.HasArg("epoch-ended"),
		EpochEnded:   d.HasArg("epoch-ended"),
		Refused:      d.HasArg("refused"),
		Failed:       d.HasArg("failed"),
		Terms:        lease.Terms{Duration: 10 * time.Second, StopMargin: time.Second},
		SyncInterval: 2 * time.Second,
	}
	d.ScanArgs(t, "epoch", (*uint64)(&response.Epoch))
	if d.HasArg("version") {
		response.Changed = true
		d.ScanArgs(t, "version", &response.Version)
		response.Tasks = parseTasks(d.Input)
	}
	return response
}

// parseTasks parses lines such as "7 keep" or "8 stop=checkpoint".
func parseTasks(input string) []Task {
	var tasks []Task
	for _, line := range strings.Split(input, "\n") {
		var task Task
		if _, err := fmt.Sscanf(line, "%d", &task.Allocation); err != nil {
			continue
		}
		task.KeepOnDisconnect = strings.Contains(line, "keep")
		if _, kind, ok := strings.Cut(line, "stop="); ok {
			task.Stop = StopKind(kind)
		}
		tasks = append(tasks, task)
	}
	return tasks
}

func (h *agentHarness) effects() string {
	var b strings.Builder
	effects := h.agent.Effects(h.reading())
	for _, stop := range effects.Stops {
		fmt.Fprintf(&b, "stop %d %s\n", stop.Allocation, stop.Kind)
	}
	for _, task := range effects.Starts {
		fmt.Fprintf(&b, "start %d\n", task.Allocation)
	}
	if sync := effects.Sync; sync != nil {
		h.sequence = sync.Sequence
		fmt.Fprintf(&b, "sync epoch=%d version=%d leaving=%v", sync.Epoch, sync.Version, sync.Leaving)
		for _, report := range sync.Reports {
			fmt.Fprintf(&b, " %d:%s", report.Allocation, report.Outcome)
		}
		b.WriteString("\n")
	}
	if effects.Done {
		b.WriteString("done\n")
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}
