package workload

import (
	"cmp"
	"slices"
	"time"
)

// rateBurst is how many seconds' worth of jobs a team may submit at once within its guaranteed rate. A
// caller that counts by whole seconds may send the jobs of two seconds back to back.
const rateBurst = 2 * time.Second

// minBurstJobs is the lower limit of the burst in jobs, for teams that are guaranteed few jobs per second. Of
// jobs that arrive at random at four fifths of the rate, 0.9 percent exceed a burst of 8 jobs, and 20 percent
// one of 2.
const minBurstJobs = 8

// TeamRate says how much of its guaranteed rate a team has used: a token bucket, in the form of the time at
// which the bucket is full again. It depends on the times of the commands only, and on integers, so that
// replicas on different processors agree.
type TeamRate struct {
	Team   TeamName
	FullAt time.Time
}

// takeFromRate takes one job at a time from a team's guaranteed rate. It reports false, and takes nothing,
// if the rate is used up. A team that the configuration does not list is guaranteed nothing.
func (s *State) takeFromRate(name TeamName, now time.Time) bool {
	fullAt, within := s.rateAfterJob(name, now)
	if within {
		s.teamRates[name] = fullAt
	}
	return within
}

// rateAfterJob returns when the bucket of a team is full again if it submits a job, and whether the job is
// within its rate.
func (s *State) rateAfterJob(name TeamName, now time.Time) (fullAt time.Time, within bool) {
	team := s.teams[name]
	if team == nil || !(team.Weight > 0) {
		return time.Time{}, false
	}
	interval := team.jobInterval()
	fullAt = s.teamRates[name]
	if fullAt.Before(now) {
		fullAt = now
	}
	fullAt = fullAt.Add(interval)
	if fullAt.Sub(now) > max(rateBurst, minBurstJobs*interval) {
		return time.Time{}, false
	}
	return fullAt, true
}

// maxJobInterval limits the interval of a tiny weight, so that times do not overflow.
const maxJobInterval = time.Hour

// jobInterval returns the time between two jobs at the guaranteed rate of a team of a positive weight.
func (t *Team) jobInterval() time.Duration {
	return time.Duration(min(float64(time.Second)/t.Weight, float64(maxJobInterval)))
}

// rateSnapshot lists the buckets that are in use, by team.
func (s *State) rateSnapshot() []TeamRate {
	var rates []TeamRate
	for name, fullAt := range s.teamRates {
		rates = append(rates, TeamRate{Team: name, FullAt: fullAt})
	}
	slices.SortFunc(rates, func(a, b TeamRate) int { return cmp.Compare(a.Team, b.Team) })
	return rates
}

// removeRatesOfUnlistedTeams removes the buckets of the teams that the configuration does not list.
func (s *State) removeRatesOfUnlistedTeams() {
	for name := range s.teamRates {
		if s.teams[name] == nil {
			delete(s.teamRates, name)
		}
	}
}
