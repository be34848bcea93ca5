package workload

// Memory that the control processes take for a job, at most: the state and the leader's copy of it, the log, and
// the snapshots that are kept, encoded and written. Texts are shared by the copies of the state.
const (
	jobBytes        = 4 << 10
	stepBytes       = 2 << 10
	taskBytes       = 256
	textCopies      = 5
	endedJobBytes   = 1 << 10
	dependencyBytes = 8
)

// Memory returns the memory that a job with this specification takes until it has ended, in bytes.
func (spec *JobSpec) Memory() int64 {
	bytes, texts := int64(jobBytes), len(spec.Payload)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		bytes += stepBytes + taskBytes*int64(step.Tasks)
		texts += len(step.RequiredLabel) + len(step.PreferredRack) + dependencyBytes*len(step.DependsOn)
	}
	return bytes + textCopies*int64(texts)
}

// JobMemory is the memory that jobs take, in bytes.
type JobMemory struct {
	Total   int64
	ByQueue map[string]int64
	ByTeam  map[TeamName]int64 // of jobs with a team
}

// JobMemory returns the memory that the jobs of the state take. The caller must not modify it.
func (s *State) JobMemory() JobMemory { return s.jobMemory }

func newJobMemory() JobMemory {
	return JobMemory{ByQueue: map[string]int64{}, ByTeam: map[TeamName]int64{}}
}

func (m *JobMemory) add(queue string, team TeamName, bytes int64) {
	m.Total += bytes
	if m.ByQueue[queue] += bytes; m.ByQueue[queue] == 0 {
		delete(m.ByQueue, queue)
	}
	if team == "" {
		return
	}
	if m.ByTeam[team] += bytes; m.ByTeam[team] == 0 {
		delete(m.ByTeam, team)
	}
}

func (m *JobMemory) addJob(job *Job, sign int64) {
	m.add(job.Queue.Name, job.Team, sign*job.Spec.Memory())
}

func (m *JobMemory) addEnded(job endedJob, sign int64) {
	m.add(job.queue, job.team, sign*endedJobBytes)
}

// releasePayload drops the payload of a job that has ended and has no open run: no task of it starts any more.
func (s *State) releasePayload(job *Job) {
	if job.Spec.Payload == "" || !job.State.Ended() || job.hasOpenRun() {
		return
	}
	s.jobMemory.addJob(job, -1)
	job.Spec.Payload = ""
	s.jobMemory.addJob(job, 1)
}
