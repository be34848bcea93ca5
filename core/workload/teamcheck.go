package workload

import "time"

// TeamWarningKind is what is probably wrong with the configuration of a team. Its text is used in logs.
type TeamWarningKind string

// The kinds of warnings. Such a configuration is put in force all the same.
const (
	WarningNoWeight     TeamWarningKind = "weight-zero"    // no job of the team is guaranteed
	WarningCapBelowJobs TeamWarningKind = "cap-below-jobs" // no job of the team that was accepted lately could run
)

// TeamWarning names a team whose configuration is probably wrong.
type TeamWarning struct {
	Team TeamName
	Kind TeamWarningKind
}

// warningPeriod is how far back jobs are compared with a cap.
const warningPeriod = time.Minute

// TeamWarnings checks the teams of the configuration in force against the jobs of the last minute. now is the
// time of the last command.
func (s *State) TeamWarnings(now time.Time) []TeamWarning {
	if s.config == nil || len(s.config.Teams) == 0 {
		return nil
	}
	recent, fitting := map[TeamName]bool{}, map[TeamName]bool{}
	for _, job := range s.jobs {
		if now.Sub(job.AcceptedAt) > warningPeriod {
			continue
		}
		recent[job.Team] = true
		if job.Spec.fitsCap(s.TeamCap(job.Team)) {
			fitting[job.Team] = true
		}
	}
	var warnings []TeamWarning
	for _, team := range s.config.Teams {
		if !(team.Weight > 0) {
			warnings = append(warnings, TeamWarning{team.Name, WarningNoWeight})
		}
		if recent[team.Name] && !fitting[team.Name] {
			warnings = append(warnings, TeamWarning{team.Name, WarningCapBelowJobs})
		}
	}
	return warnings
}

// fitsCap reports whether a team of the given cap can run each step of a job: its gangs as a whole, and one
// task of its other steps.
func (spec JobSpec) fitsCap(limit Resources) bool {
	for _, step := range spec.Steps {
		together := 1
		if step.Gang {
			together = step.Tasks
		}
		if !step.Size.Times(together).WithinCap(limit) {
			return false
		}
	}
	return true
}
