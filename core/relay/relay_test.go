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
		w := &relayHarness{relay: New(), now: time.Unix(0, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.run(t, d)
			return w.effects()
		})
	})
}

type relayHarness struct {
	relay  *Relay
	now    time.Time
	waiter SyncID
}

func (w *relayHarness) run(t *testing.T, d *datadriven.TestData) {
	var name string
	var incarnation, epoch, sequence, version uint64
	d.MaybeScanArgs(t, "worker", &name)
	d.MaybeScanArgs(t, "boot", &incarnation)
	d.MaybeScanArgs(t, "epoch", &epoch)
	d.MaybeScanArgs(t, "sequence", &sequence)
	d.MaybeScanArgs(t, "version", &version)
	switch d.Cmd {
	case "sync":
		w.waiter++
		w.relay.HandleSync(w.now, Sync{
			ID: w.waiter, Epoch: cell.Epoch(epoch),
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
		w.relay.HandleRegistration(w.now, registration)
	case "granted":
		w.relay.HandleGrants(w.now, []Grant{{
			Worker: cell.WorkerName(name), Sequence: sequence, Granted: !d.HasArg("ended"),
			Terms: lease.Terms{Duration: 15 * time.Second},
		}})
	case "renew-failed":
		w.relay.HandleRenewalFailure(w.now)
	case "assigned":
		view := state.WorkerView{Name: cell.WorkerName(name), Epoch: cell.Epoch(epoch), Version: version}
		w.relay.HandleAssignments(w.now, view)
	case "departed":
		w.relay.HandleDeparture(Departure{
			SyncID: w.waiter, Worker: cell.WorkerName(name), Incarnation: cell.Incarnation(incarnation),
		}, !d.HasArg("failed"))
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		wait, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(wait)
		w.relay.Tick(w.now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// formatIncarnation formats an incarnation, if the script specified one.
func formatIncarnation(incarnation cell.Incarnation) string {
	if incarnation == 0 {
		return ""
	}
	return fmt.Sprintf(" boot=%d", incarnation)
}

func (w *relayHarness) effects() string {
	var b strings.Builder
	effects := w.relay.Effects()
	for _, a := range effects.Responses {
		fmt.Fprintf(&b, "response %d status=%d sequence=%d epoch=%d", a.SyncID, a.Status, a.Sequence, a.Epoch)
		if a.Changed {
			fmt.Fprintf(&b, " version=%d", a.Version)
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
		fmt.Fprintf(&b, "attached %v\n", w.relay.Attached())
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}
