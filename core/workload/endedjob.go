package workload

import (
	"cmp"
	"slices"
	"time"
)

// endedDetailRetention is how long the steps of an ended job are kept. It is above the time in which a worker may
// carry out a late start, and not below the period that TeamWarnings looks back.
const endedDetailRetention = time.Minute

// endedJob is what is kept of a job whose steps are no longer needed.
type endedJob struct {
	queue   string
	team    TeamName
	state   JobState
	endedAt time.Duration // retention clock
}

// job returns the job without its steps.
func (e endedJob) job(id JobID) Job {
	return Job{ID: id, Queue: Queue{Name: e.queue}, Team: e.team, State: e.state, EndedAt: e.endedAt}
}

// dropDetails keeps the least of an ended job without open runs.
func (s *State) dropDetails(job *Job) {
	s.jobMemory.addJob(job, -1)
	delete(s.jobs, job.ID)
	s.addEnded(job.ID, endedJob{queue: job.Queue.Name, team: job.Team, state: job.State, endedAt: job.EndedAt})
}

func (s *State) addEnded(id JobID, ended endedJob) {
	s.ended[id] = ended
	s.jobMemory.addEnded(ended, 1)
	at := len(s.endedOrder)
	// A job may have had an open run for longer than those that ended after it.
	if at > 0 && s.ended[s.endedOrder[at-1]].endedAt > ended.endedAt {
		at, _ = slices.BinarySearchFunc(s.endedOrder, ended.endedAt, func(id JobID, endedAt time.Duration) int {
			return cmp.Compare(s.ended[id].endedAt, endedAt)
		})
	}
	s.endedOrder = slices.Insert(s.endedOrder, at, id)
}

// expireEnded removes the ended jobs whose retention is over.
func (s *State) expireEnded(retentionClock time.Duration) {
	expired := 0
	for _, id := range s.endedOrder {
		ended := s.ended[id]
		if retentionClock-ended.endedAt < JobRetention {
			break
		}
		s.jobMemory.addEnded(ended, -1)
		delete(s.ended, id)
		expired++
	}
	s.endedOrder = slices.Delete(s.endedOrder, 0, expired)
}

// Knows reports whether the state has a job, ended ones included.
func (s *State) Knows(id JobID) bool {
	_, ended := s.ended[id]
	return ended || s.jobs[id] != nil
}

// FindJob returns a job, without its steps if they are no longer kept, or nil. The caller must not modify it.
func (s *State) FindJob(id JobID) *Job {
	if job := s.jobs[id]; job != nil {
		return job
	}
	if ended, known := s.ended[id]; known {
		job := ended.job(id)
		return &job
	}
	return nil
}

// NextRelease returns how long it takes at most until an ended job takes less memory, by the retention clock.
// Without ended jobs it returns false.
func (s *State) NextRelease() (wait time.Duration, known bool) {
	next := s.nextDetailDrop
	if len(s.endedOrder) > 0 {
		expiry := s.ended[s.endedOrder[0]].endedAt + JobRetention
		if next == 0 || expiry < next {
			next = expiry
		}
	}
	return max(next-s.retentionClock, 0), next != 0
}
