package workload

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/godwitlink/godwitlink/internal/rapidseed"
)

var rateEpoch = time.Unix(1_000_000, 0)

// newRateState returns a state with teams of the given weights, named by their position, and room for all
// of their jobs.
func newRateState(weights ...float64) *State {
	s := New()
	config := &Config{Version: 1, KeysRequired: true, Queues: []Queue{{Name: teamQueue, Service: "s", MaxAttempts: 3}}}
	for i, weight := range weights {
		config.Teams = append(config.Teams, Team{Name: teamNumber(i), Weight: weight})
	}
	s.Apply(rateEpoch, 0, Command{Configure: config})
	s.Apply(rateEpoch, 0, Command{Register: &Register{Worker{ID: "w", Boot: 1, Service: "s", Capacity: Resources{MilliCPU: 10_000_000}}}})
	return s
}

func teamNumber(i int) TeamName { return TeamName(fmt.Sprint("t", i)) }

// submitAt submits a job of one task and reports whether it is within its team's share.
func submitAt(s *State, at time.Duration, team TeamName, id string) bool {
	s.Apply(rateEpoch.Add(at), 0, Command{Submit: &Submit{ID: JobID(id), Team: team, Spec: JobSpec{
		Queue: teamQueue, Steps: []StepSpec{{Tasks: 1, Size: Resources{MilliCPU: 1000}}},
	}}})
	return !s.Job(JobID(id)).BeyondShare
}

// Guards against a team that gets more, or less, than its guaranteed rate while it sends many times as much,
// and against a team that is charged for what another one sends.
func TestJobsBeyondTheGuaranteedRate(t *testing.T) {
	s := newRateState(10, 4)
	within := map[TeamName]int{}
	for i := range 6 * 75 { // 7.5 times the rate for 6 s
		if submitAt(s, time.Duration(i)*time.Second/75, "t0", fmt.Sprint("hot", i)) {
			within["t0"]++
		}
		if i%19 == 0 && submitAt(s, time.Duration(i)*time.Second/75, "t1", fmt.Sprint("calm", i)) {
			within["t1"]++
		}
	}
	if within["t0"] < 60 || within["t0"] > 60+20 {
		t.Errorf("%d jobs in 6 s within a share of 10 a second and a burst of 20", within["t0"])
	}
	if within["t1"] != (6*75+18)/19 {
		t.Errorf("%d jobs of the other team within its share of 4 a second, want all", within["t1"])
	}
	if !submitAt(s, 6*time.Second+500*time.Millisecond, "t0", "later") {
		t.Error("the rate has not come back after half a second")
	}
}

// Guards against a guarantee that a team must not have: a weight of zero, or a team that was removed.
func TestTeamsWithoutAGuaranteedRate(t *testing.T) {
	s := newRateState(0, 1e-12)
	for name, want := range map[TeamName]bool{"t0": false, "removed": false, "t1": true, "": true} {
		if got := submitAt(s, 0, name, "job-"+string(name)); got != want {
			t.Errorf("team %q: within its share %v", name, got)
		}
	}
	if New().Snapshot().TeamRates != nil {
		t.Error("a state without teams stores rates")
	}
	s.Apply(rateEpoch, 0, Command{Configure: &Config{Version: 2, Queues: s.config.Queues}})
	if got := s.Snapshot().TeamRates; got != nil {
		t.Errorf("rates %v without teams", got)
	}
}

// Guards against a repeated submission that uses up the rate, or changes the mark of its job.
func TestRepeatedSubmissionIsFree(t *testing.T) {
	s := newRateState(1)
	for range 10 {
		if !submitAt(s, 0, "t0", "same") {
			t.Fatal("the mark of a job changed")
		}
	}
	for i := range minBurstJobs {
		if got, want := submitAt(s, 0, "t0", fmt.Sprint(i)), i < minBurstJobs-1; got != want {
			t.Errorf("new job %d of a burst of %d, after one: within the share %v", i+1, minBurstJobs, got)
		}
	}
}

// Guards against replicas that disagree on the marks after one of them was restored from a snapshot, and
// against more jobs within a team's share than its rate and burst allow.
func TestRandomSubmissionsAndSnapshots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.3, 1, 7, 40}), 1, 4).Draw(rt, "weights")
		s, other := newRateState(weights...), newRateState(weights...)
		within := map[TeamName]int{}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(rt, "jobs") {
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, time.Second}).Draw(rt, "gap")
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				restored, err := Restore(other.Snapshot())
				if err != nil {
					rt.Fatal(err)
				}
				other = restored
			}
			team := teamNumber(rapid.IntRange(0, len(weights)).Draw(rt, "team"))
			mark := submitAt(s, now, team, fmt.Sprint(i))
			if mark != submitAt(other, now, team, fmt.Sprint(i)) {
				rt.Fatalf("job %d of %s: the replicas disagree", i, team)
			}
			if mark {
				within[team]++
			}
		}
		if !reflect.DeepEqual(s.Snapshot(), other.Snapshot()) {
			rt.Fatal("the replicas differ")
		}
		for i, weight := range weights {
			limit := weight*now.Seconds() + max(2*weight, minBurstJobs)
			if n := within[teamNumber(i)]; float64(n) > limit*1.000001 {
				rt.Fatalf("%d jobs within a share of %v a second in %v", n, weight, now)
			}
		}
	})
}
