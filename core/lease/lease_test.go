package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

// Guards against a holder whose lease is still valid when the granter reports it as expired, which
// could let two workers run the same task. The test varies the clock rates within the drift bound,
// delays renewals and responses, suspends the holder, changes the terms and replaces the leader.
func TestHolderEndsBeforeGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseSimulation(t)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			w.step(t)
			w.check(t)
		}
		w.runUntilExpiry(t)
	})
}

// leaseSimulation simulates one worker and one leader whose clocks run at different rates.
type leaseSimulation struct {
	start           time.Time
	elapsed         time.Duration // true time since start
	holderRate      float64
	granterRate     float64
	terms           Terms
	holder          *Holder
	granter         *Granter
	requests        []uint64
	responses       []renewalResponse
	suspended       time.Duration // time during which the holder's monotonic clock was stopped
	everExpired     bool
	longestDuration time.Duration
}

type renewalResponse struct {
	sequence uint64
	terms    Terms
}

func newLeaseSimulation(t *rapid.T) *leaseSimulation {
	drift := rapid.Int64Range(0, 5000).Draw(t, "drift")
	rate := func(name string) float64 {
		return 1 + float64(rapid.Int64Range(-drift, drift).Draw(t, name))/partsPerMillion
	}
	terms := Terms{Duration: 10 * time.Second, StopMargin: 300 * time.Millisecond, DriftPPM: drift}
	return &leaseSimulation{
		start: time.Unix(1_000_000, 0), terms: terms,
		holderRate: rate("holder"), granterRate: rate("granter"),
		holder: NewHolder(), granter: NewGranter(terms),
		longestDuration: terms.Duration,
	}
}

func (w *leaseSimulation) holderNow() ClockReading {
	passed := time.Duration(float64(w.elapsed) * w.holderRate)
	return ClockReading{Monotonic: passed - w.suspended, Wall: w.start.Add(passed)}
}

func (w *leaseSimulation) granterNow() time.Time {
	return w.start.Add(time.Duration(float64(w.elapsed) * w.granterRate))
}

func (w *leaseSimulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		w.requests = append(w.requests, w.holder.BeginRenewal(w.holderNow()))
	case 2, 3:
		w.renew(t)
	case 4, 5:
		if len(w.responses) > 0 {
			i := rapid.IntRange(0, len(w.responses)-1).Draw(t, "response")
			w.holder.ApplyGrant(w.holderNow(), w.responses[i].sequence, w.responses[i].terms)
		}
	case 6:
		pause := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "suspend"))
		w.elapsed += pause
		w.suspended += time.Duration(float64(pause) * w.holderRate)
	case 7:
		w.terms.Duration = time.Duration(rapid.Int64Range(5, 15).Draw(t, "duration")) * time.Second
		w.longestDuration = max(w.longestDuration, w.terms.Duration)
		w.granter.SetTerms(w.terms)
	case 8:
		w.changeLeader()
	default:
		w.elapsed += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait"))
	}
}

const (
	testWorker = cell.WorkerName("w")
	testEpoch  = cell.Epoch(1)
)

func (w *leaseSimulation) renew(t *rapid.T) {
	if len(w.requests) == 0 || w.everExpired {
		return
	}
	i := rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")
	w.granter.Renew(w.granterNow(), testWorker, testEpoch)
	w.responses = append(w.responses, renewalResponse{w.requests[i], w.granter.Terms()})
}

func (w *leaseSimulation) changeLeader() {
	next := NewGranter(w.terms)
	if !w.everExpired {
		next.Adopt(w.granterNow(), testWorker, testEpoch, w.longestDuration)
	}
	w.granter = next
}

// runUntilExpiry delivers every response, then advances the time in small steps without further
// renewals until the granter reports the lease as expired.
func (w *leaseSimulation) runUntilExpiry(t *rapid.T) {
	w.elapsed += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "delivery"))
	for _, a := range w.responses {
		w.holder.ApplyGrant(w.holderNow(), a.sequence, a.terms)
	}
	for range 400 {
		w.check(t)
		w.elapsed += 50 * time.Millisecond
	}
}

func (w *leaseSimulation) check(t *rapid.T) {
	if len(w.granter.Expired(w.granterNow())) > 0 {
		w.everExpired = true
	}
	if w.everExpired && w.holder.Valid(w.holderNow()) {
		t.Fatalf("lease expired at the granter, but the holder's lease is valid for another %v", w.holder.Remaining(w.holderNow()))
	}
}

// Guards against an expiry that is reported only once, so that it is lost if the command that ends
// the epoch is lost, and against an expiry reported after Remove or for an older epoch.
func TestExpiredRepeatsUntilForgotten(t *testing.T) {
	start := time.Unix(0, 0)
	g := NewGranter(Terms{Duration: time.Second})
	g.Renew(start, "w", 1)
	g.Renew(start, "w", 2)
	first := g.Expired(start.Add(time.Second))
	again := g.Expired(start.Add(time.Second + expiryRetryInterval))
	if want := fmt.Sprint([]Expiry{{Worker: "w", Epoch: 2}}); fmt.Sprint(first) != want || fmt.Sprint(again) != want {
		t.Fatalf("Expired = %v, then %v; want %v twice", first, again, want)
	}
	g.Remove("w", 1)
	g.Remove("w", 2)
	if left := g.Expired(start.Add(time.Hour)); len(left) > 0 {
		t.Fatalf("Expired after Remove = %v", left)
	}
}
