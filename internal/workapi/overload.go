package workapi

import (
	"time"

	"github.com/godwitlink/godwitlink/core/acceptance"
	"github.com/godwitlink/godwitlink/core/workload"
)

const (
	// maxProposedJobs limits the jobs that are remembered because they were proposed. It is a minute at 270
	// jobs a second and takes up to 2 MB.
	maxProposedJobs = 16_384
	// proposedJobTime is how long they are remembered. A client gives up sending a job again long before.
	proposedJobTime = time.Minute
)

// overload is the task that refuses jobs at once while the leader says that they could not end in time. Its
// goroutine owns what it knows; submissions ask it by messages.
type overload struct {
	submissions chan submission
	received    chan receivedWaits
	started     chan struct{} // closed when the task begins
	ended       chan struct{} // closed when it has ended

	current receivedWaits
	// proposed are the jobs that were proposed lately, whatever the outcome, with the time of the last
	// submission. They may have been accepted.
	proposed map[workload.JobID]time.Time
	// incompleteUntil is until when jobs may have been proposed that are not listed.
	incompleteUntil time.Time
}

// receivedWaits are the waits of queues in an answer of the leader. askedAt is when it was asked, so the
// figures are not older than they seem.
type receivedWaits struct {
	askedAt time.Time
	waits   []acceptance.QueueWait
}

// submission asks whether a job is to be refused, and reports that it is proposed otherwise.
type submission struct {
	now   time.Time
	route Route
	id    workload.JobID
	spec  workload.JobSpec
	reply chan refusal
}

// refusal is the answer to a submission.
type refusal struct {
	refused    bool
	retryAfter time.Duration
}

func newOverload() *overload {
	return &overload{
		submissions: make(chan submission), received: make(chan receivedWaits),
		started: make(chan struct{}), ended: make(chan struct{}), proposed: map[workload.JobID]time.Time{},
	}
}

// run answers submissions until done is closed.
func (o *overload) run(done <-chan struct{}) {
	close(o.started)
	defer close(o.ended)
	for {
		select {
		case <-done:
			return
		case s := <-o.submissions:
			s.reply <- o.begin(s)
		case o.current = <-o.received:
		}
	}
}

// submit passes a submission to the task. Without a task nothing is refused.
func (o *overload) submit(s submission) refusal {
	select {
	case <-o.started:
	default:
		return refusal{}
	}
	s.reply = make(chan refusal, 1)
	select {
	case o.submissions <- s:
		return <-s.reply
	case <-o.ended:
		return refusal{}
	}
}

// receive passes the waits in an answer of the leader to the task.
func (o *overload) receive(waits receivedWaits) {
	select {
	case <-o.started:
	default:
		return
	}
	select {
	case o.received <- waits:
	case <-o.ended:
	}
}

// begin decides about a submission and remembers it if it is not refused. The leader knows whether an
// earlier submission of the job was accepted, so a job that was proposed here before is left to it. So is a
// job that the cap of its team may slow down: the cap is not known here.
func (o *overload) begin(s submission) refusal {
	_, proposed := o.proposed[s.id]
	wait, found := acceptance.Find(o.current.waits, s.route.Queue.Name)
	fresh := s.now.Sub(o.current.askedAt) <= acceptance.MaxAge
	if found && fresh && !proposed && s.now.After(o.incompleteUntil) && (s.route.Caller.Team == "" || !hasWideStep(s.spec)) {
		if retryAfter, refused := acceptance.Check(wait, &s.route.Queue, &s.spec, workload.Resources{}); refused {
			return refusal{refused: true, retryAfter: retryAfter}
		}
	}
	o.remember(s)
	return refusal{}
}

// hasWideStep reports whether a step may take several rounds.
func hasWideStep(spec workload.JobSpec) bool {
	for _, step := range spec.Steps {
		if step.Tasks > 1 && !step.Gang {
			return true
		}
	}
	return false
}

// remember notes a submission. If there is no room for it, nothing is refused any more until all submissions
// that were not noted are old.
func (o *overload) remember(s submission) {
	if len(o.proposed) >= maxProposedJobs {
		for id, at := range o.proposed {
			if s.now.Sub(at) > proposedJobTime {
				delete(o.proposed, id)
			}
		}
	}
	if len(o.proposed) >= maxProposedJobs {
		o.incompleteUntil = s.now.Add(proposedJobTime)
		return
	}
	o.proposed[s.id] = s.now
}
