package dispatch

import (
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Bound of placement, first part: which tickets are used. It is made for a log and a leader that are slow,
// so that a start arrives long after its placement. Callers need work that is done once: a start whose
// ticket has expired is refused, and its placement cost two commits and a call for nothing. A ticket is
// therefore used only if it outlives the present time from a placement to the arrival of the start, a high
// percentile of what commits and starts have taken lately. Old samples lose their effect, so that the
// margin falls again, and the margin never takes all of a ticket's life, so that fresh tickets are used in
// any case.
const (
	// minStartDelay is the time from a placement to the arrival of the start that is always expected: a
	// commit across two regions and the call itself.
	minStartDelay = 250 * time.Millisecond
	// startDelayPercentile is the share of starts that are to arrive in time.
	startDelayPercentile = 95
	// startDelayPeriod is how long a sample counts. It covers several lives of a ticket.
	startDelayPeriod = 5 * time.Second
	// maxStartDelayPercent limits the expected delay to a part of the time for which tickets are valid.
	maxStartDelayPercent = 75
	maxDelaySamples      = 64
)

// recentDelays holds the last samples of a duration.
type recentDelays struct {
	samples [maxDelaySamples]delaySample
	next    int
}

type delaySample struct {
	at    time.Time
	delay time.Duration
}

func (d *recentDelays) add(now time.Time, delay time.Duration) {
	d.samples[d.next] = delaySample{now, delay}
	d.next = (d.next + 1) % maxDelaySamples
}

// highPercentile returns the startDelayPercentile of the samples of the last startDelayPeriod, 0 if there is
// none.
func (d *recentDelays) highPercentile(now time.Time) time.Duration {
	var buffer [maxDelaySamples]time.Duration
	recent := buffer[:0]
	for _, s := range d.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= startDelayPeriod {
			recent = append(recent, s.delay)
		}
	}
	if len(recent) == 0 {
		return 0
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)*startDelayPercentile/100]
}

// startDelays holds what placements have taken lately.
type startDelays struct {
	commits recentDelays // from the proposal of an assignment to its commit
	starts  recentDelays // from a first start to its answer
	// tickets is how much earlier than expected tickets had expired that were refused: their answers took
	// long to arrive after they were issued.
	tickets  recentDelays
	expected time.Duration // for the current plan
	commit   time.Duration // part of it that commits take
}

// updateStartDelay calculates the expected delay for a plan. A proposal that waits already longer than earlier
// ones have taken counts as one that took as long.
func (c *Core) updateStartDelay() {
	d := &c.startDelays
	d.commit = max(d.commits.highPercentile(c.now), c.oldestProposalAge())
	d.expected = max(minStartDelay, d.commit+d.starts.highPercentile(c.now)+d.tickets.highPercentile(c.now))
}

// CommitTime returns how long commits took before the current plan, as a high percentile.
func (c *Core) CommitTime() time.Duration { return c.startDelays.commit }

// startDelay returns the expected time from a placement to the arrival of a start of a step, whose tickets are
// valid for a time.
func (c *Core) startDelay(validity time.Duration) time.Duration {
	limit := validity * maxStartDelayPercent / 100
	return max(minStartDelay, min(c.startDelays.expected, limit))
}

// oldestProposalAge returns how long the oldest proposal has waited for its commit.
func (c *Core) oldestProposalAge() time.Duration {
	oldest := time.Duration(0)
	for _, p := range c.proposals {
		oldest = max(oldest, c.now.Sub(p.proposedAt))
	}
	return oldest
}

// ticketValid reports whether the ticket of a grant is still valid when a start arrives.
func (c *Core) ticketValid(s *step, g grant) bool {
	return c.now.Add(c.startDelay(s.maxTicketTTL)).Before(g.expiresAt)
}

// ticketsValid reports whether any ticket of a step is still valid when a start arrives.
func (c *Core) ticketsValid(s *step) bool {
	return c.now.Add(c.startDelay(s.maxTicketTTL)).Before(s.ticketsExpireAt)
}

// recordStart adds a first start that was answered to the samples. A refused ticket has expired before its
// expected expiry.
func (c *Core) recordStart(r *run, outcome Outcome) {
	if r.startAttempts != 1 {
		return
	}
	switch outcome {
	case OutcomeOK:
		c.startDelays.starts.add(c.now, min(c.now.Sub(r.startSentAt), firstStartTimeout))
	case OutcomeBadTicket:
		if early := r.ticketExpiresAt.Sub(r.startSentAt); !r.ticketExpiresAt.IsZero() && early > 0 {
			c.startDelays.tickets.add(c.now, early)
		}
	}
}

// hasExpiredTicket reports whether the ticket of a run has expired before its start was sent for the first
// time. The worker would refuse the start.
func (c *Core) hasExpiredTicket(r *run) bool {
	return r.startAttempts == 0 && !r.ticketExpiresAt.IsZero() && !c.now.Before(r.ticketExpiresAt)
}

const reasonExpiredTicket = "expired-ticket"

// withdrawExpired closes a run whose ticket has expired before its start was sent.
func (c *Core) withdrawExpired(w *worker, id workload.TaskID, r *run) {
	c.recordBound(BoundPlacement, reasonExpiredTicket)
	c.recordDecision(Decision{
		Kind: DecisionRefused, Job: id.Job, Step: id.Step, Task: id.Index, Run: r.number, Worker: w.ID, Reason: reasonExpiredTicket,
	})
	c.withdrawRun(w, id, r, reasonExpiredTicket)
	c.dropTickets(id.StepID())
}
