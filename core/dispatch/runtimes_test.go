package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/runtimes"
	"github.com/godwitlink/godwitlink/core/workload"
)

// threeQueues are queues of different priority.
func threeQueues() []workload.Queue {
	return []workload.Queue{
		{Name: "urgent", Service: "shop", MaxAttempts: 5, Priority: 0, SlackFactor: 1.5, TargetLatency: 400 * time.Millisecond},
		{Name: "usual", Service: "shop", MaxAttempts: 5, Priority: 1, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "slow", Service: "shop", MaxAttempts: 5, Priority: 2, SlackFactor: 3, TargetLatency: 2 * time.Second},
	}
}

// playSeeds plays a cell several times and adds up the results, by queue.
func playSeeds(load cellLoad, seeds int, trustDeclared bool) map[string]cellResult {
	sums := map[string]cellResult{}
	for seed := range seeds {
		for name, r := range playCell(load, uint64(seed), func(o *dispatch.Options) { o.TrustDeclared = trustDeclared }) {
			sum := sums[name]
			sum.add(*r)
			sums[name] = sum
		}
	}
	return sums
}

func (r *cellResult) add(o cellResult) {
	r.jobs, r.inTime, r.worth, r.stalled = r.jobs+o.jobs, r.inTime+o.inTime, r.worth+o.worth, r.stalled+o.stalled
	if r.starts == nil {
		r.starts = map[float64]int{}
	}
	for speed, n := range o.starts {
		r.starts[speed] += n
	}
}

// noise returns two standard errors of the difference of two shares of so many jobs each. Two jobs more of
// either kind are counted (Agresti and Coull), because otherwise a share of 1 would have no error.
func noise(share float64, jobs int) float64 {
	n := float64(jobs) + 4
	share = (share*float64(jobs) + 2) / n
	return 2 * math.Sqrt(2*share*(1-share)/n)
}

// comparison is what the clients get with and without learning, by queue and for all queues together.
type comparison struct{ learned, declared cellResult }

func compare(t *testing.T, load cellLoad, seeds int) map[string]comparison {
	learned, declared := playSeeds(load, seeds, false), playSeeds(load, seeds, true)
	all := comparison{}
	result := map[string]comparison{}
	for _, q := range load.queues {
		c := comparison{learned[q.Name], declared[q.Name]}
		result[q.Name] = c
		all.learned.add(c.learned)
		all.declared.add(c.declared)
	}
	result["all"] = all
	for name, c := range result {
		t.Logf("%s: %d jobs, in time %.3f (%.3f as declared), worth %.3f (%.3f), given up %d (%d)", name, c.learned.jobs,
			c.learned.inTimeShare(), c.declared.inTimeShare(), c.learned.meanWorth(), c.declared.meanWorth(), c.learned.stalled, c.declared.stalled)
	}
	return result
}

func (c comparison) gain() float64  { return c.learned.meanWorth() - c.declared.meanWorth() }
func (c comparison) noise() float64 { return noise(c.declared.meanWorth(), c.declared.jobs) }

// threeSpeeds are the kinds of workers of the platform.
var threeSpeeds = []float64{0.8, 1, 1.25}

// The load of these tests: a cell at 80 to 110 percent of its capacity, queues of three priorities, and
// declared run times that are off by a factor of 0.1 to 1.9.
func loadedCell(load float64) cellLoad {
	return cellLoad{workers: 20, speeds: threeSpeeds, load: load, duration: 40 * time.Second, queues: threeQueues(), gangs: 0.15}
}

// Learning must lose nothing where declared run times are right: a cell must serve its clients as
// before.
func TestRightRunTimesAreServedAsDeclared(t *testing.T) {
	for _, load := range []float64{0.8, 0.95, 1.1} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			cell := loadedCell(load)
			cell.speeds = []float64{1}
			for name, c := range compare(t, cell, 4) {
				if math.Abs(c.gain()) > c.noise() {
					t.Errorf("%s: worth changes by %.3f, noise is %.3f", name, c.gain(), c.noise())
				}
			}
		})
	}
}

// Learning must gain where declared run times are wrong and tasks have a long tail, and must not lose in
// any queue. Without learning, long tasks were given up again and again.
func TestLearnedRunTimesGain(t *testing.T) {
	for _, load := range []float64{0.8, 0.95, 1.1} {
		for _, slowEvery := range []time.Duration{0, time.Minute} {
			t.Run(fmt.Sprint(load, slowEvery), func(t *testing.T) {
				t.Parallel()
				cell := loadedCell(load)
				cell.error, cell.longTasks, cell.slowEvery = 0.9, 0.03, slowEvery
				results := compare(t, cell, 4)
				for name, c := range results {
					if c.gain() < -c.noise() {
						t.Errorf("%s: worth falls by %.3f, noise is %.3f", name, -c.gain(), c.noise())
					}
				}
				if all := results["all"]; all.gain() < all.noise() {
					t.Errorf("worth changes by %.3f, noise is %.3f", all.gain(), all.noise())
				}
			})
		}
	}
}

// Learning must not lose where only one thing is wrong: the declared run times by half, or by nearly all,
// workers that become slow for seconds, or all run times by the same factor.
func TestLearnedRunTimesLoseNowhere(t *testing.T) {
	for name, change := range map[string]func(*cellLoad){
		"off by half":      func(c *cellLoad) { c.error = 0.5 },
		"off by 0.9":       func(c *cellLoad) { c.error = 0.9 },
		"slow workers":     func(c *cellLoad) { c.slowEvery = time.Minute },
		"all a third":      func(c *cellLoad) { c.scale = 0.33 },
		"all three times":  func(c *cellLoad) { c.scale = 3 },
		"advised":          adviseJobs,
		"long tasks alone": func(c *cellLoad) { c.longTasks = 0.03 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cell := loadedCell(0.95)
			change(&cell)
			for name, c := range compare(t, cell, 4) {
				if c.gain() < -c.noise() {
					t.Errorf("%s: worth falls by %.3f, noise is %.3f", name, -c.gain(), c.noise())
				}
			}
		})
	}
}

// adviseJobs lets an adviser decide which workers may run the steps of a cell.
func adviseJobs(c *cellLoad) {
	c.requesters, c.error, c.longTasks = 20, 0.9, 0.03
	for i := range c.queues {
		c.queues[i].Advice = &workload.AdviserConfig{Base: 20 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: 2 * time.Second}
	}
}

// Urgent work must run on fast workers and work with slack on slow ones, and the slow ones must not stay
// idle.
func TestUrgentWorkRunsOnFastWorkers(t *testing.T) {
	cell := loadedCell(0.6)
	cell.queues[0].SlackFactor, cell.queues[2].SlackFactor = 1.2, 8
	results := playSeeds(cell, 4, false)
	share := func(queue string, speed float64) float64 {
		starts := results[queue].starts
		return float64(starts[speed]) / float64(starts[0.8]+starts[1]+starts[1.25])
	}
	urgent, slack := share("urgent", 1.25), share("slow", 1.25)
	t.Logf("on fast workers: %.2f of the urgent runs, %.2f of those with slack; on slow ones %.2f and %.2f", urgent, slack, share("urgent", 0.8), share("slow", 0.8))
	if urgent < 0.4 || slack > 0.3 {
		t.Errorf("%.2f of the urgent runs and %.2f of those with slack are on fast workers", urgent, slack)
	}
	if share("slow", 0.8) < 1.0/3 {
		t.Errorf("%.2f of the runs with slack are on slow workers", share("slow", 0.8))
	}
}

// A new leader must know the run times that its predecessors have learned: it must not give up tasks that
// take several times their estimate in a queue in which many do.
func TestNewLeaderKnowsRunTimes(t *testing.T) {
	step := workload.StepSpec{Tasks: 1, Size: wholeWorker, Estimate: time.Second}
	samples := make([]runtimes.Sample, 100)
	for i := range samples[:5] {
		samples[i].Declared = 11
	}
	for _, known := range []bool{false, true} {
		teams := configureQueues(workload.Queue{Name: "q", Service: "shop", MaxAttempts: 3})
		teams.Configure.Version, teams.Configure.Teams = 2, []workload.Team{{Name: "a"}}
		commands := []workload.Command{teams, submitJob("j", step), registerWorker("w0", 1), registerWorker("w1", 1)}
		if known {
			commands = append(commands, workload.Command{Decide: &workload.Decide{Ends: []workload.EndedRun{workload.RunTimeReport("q", samples)}}})
		}
		b := newTestbed(t, commands...)
		b.tick(0)
		b.answerHolds(dispatch.HoldReport{})
		starts := b.commit(b.tick(replanDelay)).Starts
		if len(starts) != 1 {
			t.Fatalf("starts %+v", starts)
		}
		b.core.StartAnswered(b.now, starts[0], dispatch.OutcomeOK, 0)
		stops, after := b.runUntilStop(6*time.Second, starts, func(_ dispatch.Start, after time.Duration) int { return min(int(after*100/(9*step.Estimate)), 99) })
		if stopped := len(stops) > 0; stopped == known {
			t.Errorf("run times known: %v, stops %+v after %v", known, stops, after)
		}
	}
}

// What was learned must reach the replicas, so that the next leader has it.
func TestRunTimesAreReported(t *testing.T) {
	cell := loadedCell(0.8)
	cell.workers, cell.duration, cell.scale = 5, 20*time.Second, 0.5
	cell.teams = []workload.Team{{Name: "a"}}
	s := newLoadSim(cell, 1, nil)
	s.play()
	queues := 0
	s.mirror.RunTimes(func(queue string, group runtimes.Group) {
		queues++
		if ratio := group.Ratio(&runtimes.Siblings{}); ratio < 1.5 || ratio > 2.5 {
			t.Errorf("queue %s: run times are %.2f of the declared ones, want 2", queue, ratio)
		}
	})
	if queues != 3 {
		t.Errorf("run times of %d queues, want 3", queues)
	}
}

// An operator must see in the metrics how many jobs are late and why, and in the log which runs were given
// up and what was expected of them.
func TestLateJobsAndGivenUpRunsAreReported(t *testing.T) {
	cell := loadedCell(1.1)
	cell.speeds = []float64{1}
	s := newLoadSim(cell, 1, nil)
	s.play()
	late, reported := 0, 0
	for _, r := range s.results {
		late += r.jobs - r.inTime
	}
	for _, n := range s.late {
		reported += n
	}
	if reported < late*8/10 || reported > late*12/10 || s.late[dispatch.LateWaited] < reported*9/10 {
		t.Errorf("late by cause %v, but %d jobs are late for a lack of workers", s.late, late)
	}
	if s.runTimes == 0 || s.mispredicted*20 > s.runTimes {
		t.Errorf("%d of %d run times are off by more than two times", s.mispredicted, s.runTimes)
	}

	cell.longTasks, cell.load = 0.03, 0.6
	s = newLoadSim(cell, 1, func(o *dispatch.Options) { o.TrustDeclared = true })
	s.play()
	stalled := 0
	for _, r := range s.results {
		stalled += r.stalled
	}
	if s.late[dispatch.LateRestarted] == 0 {
		t.Errorf("late by cause %v, but %d runs were given up", s.late, stalled)
	}
	if len(s.givenUp) == 0 || len(s.givenUp) < stalled || s.givenUp[0].Remaining <= 0 || s.givenUp[0].Expected <= 0 {
		t.Errorf("%d runs were given up, reported %+v", stalled, s.givenUp)
	}
}
