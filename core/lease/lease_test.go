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
		s := newLeaseSimulation(t)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			s.step(t)
			s.check(t)
		}
		s.runUntilExpiry(t)
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

func (s *leaseSimulation) holderNow() ClockReading {
	passed := time.Duration(float64(s.elapsed) * s.holderRate)
	return ClockReading{Monotonic: passed - s.suspended, Wall: s.start.Add(passed)}
}

func (s *leaseSimulation) granterNow() time.Time {
	return s.start.Add(time.Duration(float64(s.elapsed) * s.granterRate))
}

func (s *leaseSimulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		s.requests = append(s.requests, s.holder.BeginRenewal(s.holderNow()))
	case 2, 3:
		s.renew(t)
	case 4, 5:
		if len(s.responses) > 0 {
			i := rapid.IntRange(0, len(s.responses)-1).Draw(t, "response")
			s.holder.ApplyGrant(s.holderNow(), s.responses[i].sequence, s.responses[i].terms)
		}
	case 6:
		pause := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "suspend"))
		s.elapsed += pause
		s.suspended += time.Duration(float64(pause) * s.holderRate)
	case 7:
		s.terms.Duration = time.Duration(rapid.Int64Range(5, 15).Draw(t, "duration")) * time.Second
		s.longestDuration = max(s.longestDuration, s.terms.Duration)
		s.granter.SetTerms(s.terms)
	case 8:
		s.changeLeader()
	default:
		s.elapsed += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait"))
	}
}

const (
	testWorker = cell.WorkerName("w")
	testEpoch  = cell.Epoch(1)
)

func (s *leaseSimulation) renew(t *rapid.T) {
	if len(s.requests) == 0 || s.everExpired {
		return
	}
	i := rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")
	s.granter.Renew(s.granterNow(), testWorker, testEpoch)
	s.responses = append(s.responses, renewalResponse{s.requests[i], s.granter.Terms()})
}

func (s *leaseSimulation) changeLeader() {
	next := NewGranter(s.terms)
	if !s.everExpired {
		next.Adopt(s.granterNow(), testWorker, testEpoch, s.longestDuration)
	}
	s.granter = next
}

// runUntilExpiry delivers every response, then advances the time in small steps without further
// renewals until the granter reports the lease as expired.
func (s *leaseSimulation) runUntilExpiry(t *rapid.T) {
	s.elapsed += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "delivery"))
	for _, response := range s.responses {
		s.holder.ApplyGrant(s.holderNow(), response.sequence, response.terms)
	}
	for range 400 {
		s.check(t)
		s.elapsed += 50 * time.Millisecond
	}
}

func (s *leaseSimulation) check(t *rapid.T) {
	if len(s.granter.Expired(s.granterNow())) > 0 {
		s.everExpired = true
	}
	if s.everExpired && s.holder.Valid(s.holderNow()) {
		t.Fatalf("lease expired at the granter, but the holder's lease is valid for another %v", s.holder.Remaining(s.holderNow()))
	}
}

// Guards against an expiry that is reported only once, so that it is lost if the command that ends
// the epoch is lost, and against an expiry reported after Remove or for an older epoch.
func TestExpiredRepeatsUntilRemoved(t *testing.T) {
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
