package state

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/strictconf"
)

// config is the cell file in force with its tables indexed by name.
type config struct {
	file           cellconfig.File
	digest         string
	failureDomains map[cell.FailureDomain]cell.Region
	pools          map[cell.Pool]cellconfig.Pool
	policies       map[cell.PolicyName]cellconfig.Policy
	teams          map[cell.Team]cellconfig.Team
	retired        map[cell.WorkerName]bool
}

func newConfig(file cellconfig.File, digest string) *config {
	c := &config{
		file:           file,
		digest:         digest,
		failureDomains: map[cell.FailureDomain]cell.Region{},
		pools:          map[cell.Pool]cellconfig.Pool{},
		policies:       map[cell.PolicyName]cellconfig.Policy{},
		teams:          map[cell.Team]cellconfig.Team{},
		retired:        map[cell.WorkerName]bool{},
	}
	for _, region := range file.Regions {
		for _, domain := range region.FailureDomains {
			c.failureDomains[domain] = region.Name
		}
	}
	for _, pool := range file.Pools {
		c.pools[pool.Name] = pool
	}
	for _, policy := range file.Policies {
		c.policies[policy.Name] = policy
	}
	for _, team := range file.Teams {
		c.teams[team.Name] = team
	}
	for _, worker := range file.Cell.RetiredWorkers {
		c.retired[worker] = true
	}
	return c
}

// applyFile puts a file in force, or refuses it with the reason.
func (s *State) applyFile(c ApplyFile) Result {
	digest := cellconfig.Digest(c.Body)
	if s.config != nil && s.config.digest == digest {
		return s.fileResult(FileResult{Repeated: true}, RefusalNone, "this file is in force already")
	}
	file, faults := cellconfig.Parse(c.Body)
	if len(faults) > 0 {
		return s.fileResult(FileResult{Faults: faults}, RefusalFileFaults, fmt.Sprintf("faults in the file: %d", len(faults)))
	}
	if s.config != nil {
		if refusal, detail := s.checkGeneration(file.Generation, digest); refusal != RefusalNone {
			return s.fileResult(FileResult{}, refusal, detail)
		}
	}
	next := newConfig(file, digest)
	if faults := s.findConflicts(next, c.Body); len(faults) > 0 {
		return s.fileResult(FileResult{Faults: faults}, RefusalFileFaults,
			fmt.Sprintf("conflicts of the file with what is in use: %d", len(faults)))
	}
	var changes []string
	if s.config != nil {
		changes = cellconfig.Diff(s.config.file, file)
	}
	s.putInForce(next, c)
	return s.fileResult(FileResult{Changes: changes}, RefusalNone, "accepted")
}

// checkGeneration refuses a generation that is not above the one in force. If the file was accepted
// earlier and superseded, the detail says so, for an operator who repeats a file whose answer was lost.
func (s *State) checkGeneration(generation cell.Generation, digest string) (Refusal, string) {
	current := s.config.file.Generation
	switch {
	case generation == current:
		return RefusalGenerationUsed, fmt.Sprintf("another file with generation %d is in force, digest %s, submitted by %s",
			current, s.config.digest, s.config.file.Submitter)
	case generation > current:
		return RefusalNone, ""
	}
	detail := fmt.Sprintf("generation %d is in force, submitted by %s", current, s.config.file.Submitter)
	if record := s.configRecord(generation); record != nil && record.Digest == digest {
		detail = fmt.Sprintf("this file was accepted at %s and superseded: %s", record.At.Format(time.RFC3339), detail)
	}
	return RefusalGenerationOld, detail
}

// fileResult returns a result with the generation and digest in force filled in.
func (s *State) fileResult(r FileResult, refusal Refusal, detail string) Result {
	if s.config != nil {
		r.Generation = s.config.file.Generation
		r.Digest = s.config.digest
	}
	return Result{Refusal: refusal, Detail: detail, File: &r}
}

func (s *State) putInForce(next *config, c ApplyFile) {
	if s.config != nil {
		s.check(next.file.Generation > s.config.file.Generation, CheckGenerationMonotonic,
			"generation %d follows %d", next.file.Generation, s.config.file.Generation)
	}
	s.config = next
	record := ConfigRecord{
		Generation: next.file.Generation,
		Digest:     next.digest,
		Submitter:  next.file.Submitter,
		From:       truncate(c.From),
		At:         s.now,
		Body:       c.Body,
	}
	s.records = append(s.records, record)
	s.trimRecords()
	s.emit(Event{ConfigChanged: &ConfigChanged{Record: record}})
	s.endRetiredWorkers()
}

// trimRecords removes the oldest records above MaxConfigRecords, and the oldest bodies above
// MaxConfigBodyBytes.
func (s *State) trimRecords() {
	if extra := len(s.records) - MaxConfigRecords; extra > 0 {
		s.records = append([]ConfigRecord(nil), s.records[extra:]...)
	}
	last := len(s.records) - 1
	total := len(s.records[last].Body)
	for i := last - 1; i >= 0; i-- {
		total += len(s.records[i].Body)
		if total > MaxConfigBodyBytes {
			s.records[i].Body = nil
		}
	}
}

// endRetiredWorkers ends the allocations kept on disconnected workers that the file in force retires.
// For a worker that still has an epoch, ExpireWorker ends them.
func (s *State) endRetiredWorkers() {
	for _, name := range s.config.file.Cell.RetiredWorkers {
		w := s.workers[name]
		if w != nil && !w.registered {
			s.endAllocations(w, endAll)
		}
	}
}

// findConflicts returns the conflicts of a file with the jobs, reservations, members and workers of the
// state.
func (s *State) findConflicts(next *config, body []byte) strictconf.Faults {
	c := &conflictCheck{next: next, body: body}
	c.checkQuotas(s)
	c.checkJobs(s)
	c.checkMembers(s)
	c.checkWorkers(s)
	c.faults.Sort()
	return c.faults
}
