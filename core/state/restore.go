package state

import (
	"container/heap"
	"fmt"
	"slices"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/workload"
)

// SnapshotError is the reason why a snapshot cannot be restored.
type SnapshotError struct{ Problem string }

// Error implements error.
func (e *SnapshotError) Error() string { return "snapshot of the state: " + e.Problem }

func snapshotErrorf(format string, args ...any) error {
	return &SnapshotError{Problem: fmt.Sprintf(format, args...)}
}

// Restore returns the state of a snapshot, or a *SnapshotError if the structure of the snapshot is
// inconsistent. A state that violates an invariant is restored and the violation is recorded. If
// replicas refused to start, a bug that caused the violation would become an outage of the cell.
func Restore(snapshot Snapshot) (*State, error) {
	s := New()
	s.index = snapshot.Index
	s.now = snapshot.Now.UTC()
	s.retentionClock = snapshot.Retained.UTC()
	s.lastAdvance = snapshot.LastAdvance.UTC()
	s.advanceTerm = snapshot.AdvanceTerm
	s.lastJob = snapshot.NextJob
	s.lastAllocation = snapshot.NextAllocation
	s.lastEpoch = snapshot.LastEpoch
	steps := []func(Snapshot) error{
		s.restoreConfig, s.restoreJobs, s.restoreWorkers, s.restoreAllocations, s.restoreRequests, s.restoreMembers,
		s.restoreWorkload,
	}
	for _, step := range steps {
		if err := step(snapshot); err != nil {
			return nil, err
		}
	}
	s.violations = s.Audit()
	return s, nil
}

func (s *State) restoreWorkload(snapshot Snapshot) error {
	restored, err := workload.Restore(snapshot.Workload)
	if err != nil {
		return snapshotErrorf("%v", err)
	}
	s.workload = restored
	return nil
}

func (s *State) restoreConfig(snapshot Snapshot) error {
	s.records = slices.Clone(snapshot.Records)
	if len(s.records) == 0 {
		if len(snapshot.Jobs)+len(snapshot.Workers) > 0 {
			return snapshotErrorf("it has jobs or workers but no cell file")
		}
		return nil
	}
	for i := range s.records {
		s.records[i].At = s.records[i].At.UTC()
	}
	inForce := s.records[len(s.records)-1]
	file, faults := cellconfig.Parse(inForce.Body)
	if len(faults) > 0 {
		return snapshotErrorf("the cell file of generation %d has faults: %v", inForce.Generation, faults)
	}
	s.config = newConfig(file, inForce.Digest)
	return nil
}

func (s *State) restoreJobs(snapshot Snapshot) error {
	for _, js := range snapshot.Jobs {
		if js.ID == 0 || js.ID > s.lastJob || s.jobs[js.ID] != nil {
			return snapshotErrorf("job %d is listed twice or above the last id", js.ID)
		}
		if _, kept := s.config.policies[js.Spec.Policy]; !kept && !js.State.Terminal() {
			return snapshotErrorf("job %d has policy %q, which is not defined", js.ID, js.Spec.Policy)
		}
		j := restoreJob(js)
		s.jobs[j.id] = j
		s.jobKeys[jobKey{j.spec.Team, j.key}] = j.id
		if j.state == cell.JobQueued {
			s.usageOf(j.spec.Team).queuedJobs++
		}
	}
	for _, id := range snapshot.EndedJobs {
		if s.jobs[id] == nil {
			return snapshotErrorf("ended job %d is not listed", id)
		}
	}
	s.endedJobs = slices.Clone(snapshot.EndedJobs)
	return nil
}

func restoreJob(js JobSnapshot) *job {
	j := &job{
		id:          js.ID,
		key:         js.Key,
		spec:        js.Spec,
		kind:        js.Kind,
		state:       js.State,
		submittedAt: js.SubmittedAt.UTC(),
		endedAt:     js.EndedAt.UTC(),
		notBefore:   js.NotBefore.UTC(),
		tasks:       make([]task, len(js.Tasks)),
	}
	for i, t := range js.Tasks {
		j.tasks[i] = task{state: t.State, attempts: t.Attempts, preempted: t.Preempted, notBefore: t.NotBefore, detail: t.Detail}
		if !t.State.Terminal() {
			j.unfinishedTasks++
		}
	}
	return j
}

func (s *State) restoreWorkers(snapshot Snapshot) error {
	for _, ws := range snapshot.Workers {
		if s.workers[ws.Info.Name] != nil || ws.Epoch > s.lastEpoch {
			return snapshotErrorf("worker %s is listed twice or its epoch is above the last one", ws.Info.Name)
		}
		s.workers[ws.Info.Name] = &worker{
			info: ws.Info, epoch: ws.Epoch, registered: ws.Registered, endedAt: ws.EndedAt.UTC(), version: ws.Version,
		}
	}
	return nil
}

func (s *State) restoreAllocations(snapshot Snapshot) error {
	for _, as := range snapshot.Allocations {
		a := as.Allocation
		w, j := s.workers[a.Worker], s.jobs[a.Task.Job]
		if w == nil || j == nil || a.Task.Index < 0 || a.Task.Index >= len(j.tasks) {
			return snapshotErrorf("allocation %d has no worker or no task", a.ID)
		}
		if a.ID == 0 || a.ID > s.lastAllocation || s.allocations[a.ID] != nil || j.tasks[a.Task.Index].allocation != 0 {
			return snapshotErrorf("allocation %d or its task is listed twice", a.ID)
		}
		a.PlacedAt = a.PlacedAt.UTC()
		version := w.version
		s.addAllocation(&allocation{
			Allocation: a, job: j, running: as.Running, stopping: as.Stopping, preempted: as.Preempted, startedAt: as.StartedAt.UTC(),
		}, w)
		w.version = version
	}
	for _, w := range s.workers {
		s.updatePoolCount(w)
	}
	return nil
}

func (s *State) restoreRequests(snapshot Snapshot) error {
	for _, rs := range snapshot.Requests {
		if s.requests[rs.Key] != nil {
			return snapshotErrorf("request %v is listed twice", rs.Key)
		}
		r := &request{
			key: rs.Key, digest: rs.Digest, entry: rs.Entry, incarnation: rs.Incarnation, attempt: rs.Attempt, state: rs.State,
			retention: rs.Retention, expiresAt: rs.DropAt.UTC(), notRunAttempts: slices.Clone(rs.Released), dispatchAttempt: rs.Granted,
			answerID: rs.AnswerID, answer: rs.Answer,
		}
		s.requests[r.key] = r
		s.restoreIndexes(r)
	}
	slices.SortFunc(s.storedAnswers, func(a, b answerRef) int { return compare(a.id, b.id) })
	return nil
}

func (s *State) restoreIndexes(r *request) {
	if r.state == RequestRunning {
		s.indexRunning(r)
		return
	}
	heap.Push(&s.expiryQueue, requestExpiry{at: r.expiresAt, key: r.key})
	if r.answer != nil {
		s.storedAnswers = append(s.storedAnswers, answerRef{key: r.key, id: r.answerID})
		s.answerBytes += answerSize(r.answer)
	}
}

func (s *State) restoreMembers(snapshot Snapshot) error {
	for _, m := range snapshot.Members {
		s.members[m.Name] = m
	}
	for _, removed := range snapshot.Left {
		s.removedMembers = append(s.removedMembers, removedMember{name: removed.Name, incarnation: removed.Incarnation})
	}
	return nil
}
