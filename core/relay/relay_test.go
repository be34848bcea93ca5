package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/lease"
	"github.com/godwitlink/godwitlink/core/state"
)

// Guards against two batches in flight, grants passed to the wrong renewal, long polls that miss a
// change, assignments that revert to an older version, syncs without a response, and delayed
// messages of an earlier incarnation that affect the current one.
func TestRelay(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &relayHarness{relay: New(), now: time.Unix(0, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h.run(t, d)
			return h.effects()
		})
	})
}

type relayHarness struct {
	relay      *Relay
	now        time.Time
	lastSyncID SyncID
}

func (h *relayHarness) run(t *testing.T, d *datadriven.TestData) {
	var name string
	var incarnation, epoch, sequence, version uint64
	d.MaybeScanArgs(t, "worker", &name)
	d.MaybeScanArgs(t, "boot", &incarnation)
	d.MaybeScanArgs(t, "epoch", &epoch)
	d.MaybeScanArgs(t, "sequence", &sequence)
	d.MaybeScanArgs(t, "version", &version)
	switch d.Cmd {
	case "sync":
		h.lastSyncID++
		h.relay.HandleSync(h.now, Sync{
			ID: h.lastSyncID, Epoch: cell.Epoch(epoch),
			Worker:   cell.Worker{Name: cell.WorkerName(name), Incarnation: cell.Incarnation(incarnation)},
			Sequence: sequence, Version: version, MaxWait: 5 * time.Second, Leaving: d.HasArg("leaving"),
		})
	case "registered":
		registration := Registration{
			Worker: cell.WorkerName(name), Incarnation: cell.Incarnation(incarnation),
			Epoch: cell.Epoch(epoch), Failed: d.HasArg("failed"),
		}
		if d.HasArg("refused") {
			registration.Refusal = state.RefusalWorkerNotAdmitted
		}
		h.relay.HandleRegistration(h.now, registration)
	case "granted":
		h.relay.HandleGrants(h.now, []Grant{{
			Worker: cell.WorkerName(name), Sequence: sequence, Granted: !d.HasArg("ended"),
			Terms: lease.Terms{Duration: 15 * time.Second},
		}})
	case "renew-failed":
		h.relay.HandleRenewalFailure(h.now)
	case "assigned":
		view := state.WorkerView{Name: cell.WorkerName(name), Epoch: cell.Epoch(epoch), Version: version}
		h.relay.HandleAssignments(h.now, view)
	case "departed":
		h.relay.HandleDeparture(Departure{
			SyncID: h.lastSyncID, Worker: cell.WorkerName(name), Incarnation: cell.Incarnation(incarnation),
		}, !d.HasArg("failed"))
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		wait, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		h.now = h.now.Add(wait)
		h.relay.Tick(h.now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// formatIncarnation formats an incarnation, called "boot" in the scripts, if the script specified one.
func formatIncarnation(incarnation cell.Incarnation) string {
	if incarnation == 0 {
		return ""
	}
	return fmt.Sprintf(" boot=%d", incarnation)
}

func (h *relayHarness) effects() string {
	var b strings.Builder
	effects := h.relay.Effects()
	for _, response := range effects.Responses {
		fmt.Fprintf(&b, "response %d status=%d sequence=%d epoch=%d", response.SyncID, response.Status, response.Sequence, response.Epoch)
		if response.Changed {
			fmt.Fprintf(&b, " version=%d", response.Version)
		}
		b.WriteString("\n")
	}
	for _, worker := range effects.Registrations {
		fmt.Fprintf(&b, "register %s%s\n", worker.Name, formatIncarnation(worker.Incarnation))
	}
	for _, renewal := range effects.Renewals {
		fmt.Fprintf(&b, "renew %s%s epoch=%d sequence=%d\n", renewal.Worker, formatIncarnation(renewal.Incarnation), renewal.Epoch, renewal.Sequence)
	}
	for _, departure := range effects.Departures {
		fmt.Fprintf(&b, "depart %s epoch=%d\n", departure.Worker, departure.Epoch)
	}
	if effects.AttachedChanged {
		fmt.Fprintf(&b, "attached %v\n", h.relay.Attached())
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}
