package dispatch

import "time"

// Limits of the time that the leader waits for the answer to a call.
const (
	// minCallTimeout covers the longest round trip of the platform (16 ms) over a new connection, which
	// takes two, and the variation that an estimate from equal samples does not have.
	minCallTimeout = 60 * time.Millisecond
	// maxCallTimeout covers a busy worker (100 ms) and a leader that is short of processor time.
	maxCallTimeout = 600 * time.Millisecond
	maxSample      = 2 * maxCallTimeout
	// initialCallTimeout applies before the first answer of any worker. A new leader that called 350 workers
	// at once processed their answers after 240 ms on average. Until its own first answer, the timeout of
	// a worker is twice that of all.
	initialCallTimeout = 400 * time.Millisecond
)

// Weights of a new sample in an estimate, as powers of one half.
const (
	// Those of one worker are the weights of RFC 6298.
	workerMeanShift, workerDeviationShift = 3, 2
	// All workers together give up to 1,500 samples a second, which differ by the distance of the
	// workers. The weights cover about as much time as those of one worker.
	fleetMeanShift, fleetDeviationShift = 5, 4
)

// deviationFactor is the number of mean deviations in a timeout, as in RFC 6298.
const deviationFactor = 4

// timeoutsPerDoubling is the number of calls in a row without an answer after which the timeout doubles. It
// is not 1, because where half of all calls get lost the wait would consist of back-off.
const timeoutsPerDoubling = 3

// maxDoublings limits the exponent of the back-off: minCallTimeout reaches maxCallTimeout.
const maxDoublings = 4

// roundTrip estimates the time from the sending of a call to the processing of its answer, by the mean and
// the mean deviation of the samples, as the retransmission timer of TCP does (RFC 6298). An answer belongs to
// one call, so the answer to a repeated call is a sample, too (RFC 6298 excludes it because it cannot tell).
type roundTrip struct {
	meanShift, deviationShift uint
	mean, deviation           time.Duration
	sampled                   bool
	// timeouts counts the calls in a row without an answer since the last one that was answered, and
	// lastTimeout is when the last of them ended.
	timeouts    int
	lastTimeout time.Time
}

func newWorkerRoundTrip() roundTrip {
	return roundTrip{meanShift: workerMeanShift, deviationShift: workerDeviationShift}
}

func newFleetRoundTrip() roundTrip {
	return roundTrip{meanShift: fleetMeanShift, deviationShift: fleetDeviationShift}
}

// answered adds the sample of a call that was answered and ends the back-off.
func (r *roundTrip) answered(sample time.Duration) {
	r.timeouts = 0
	r.add(max(sample, 0))
}

// add adds a sample. One of a leader that was suspended counts as a long timeout at most.
func (r *roundTrip) add(sample time.Duration) {
	sample = min(sample, maxSample)
	if !r.sampled {
		r.sampled, r.mean, r.deviation = true, sample, sample/2
		return
	}
	difference := sample - r.mean
	r.deviation += (difference.Abs() - r.deviation) >> r.deviationShift
	r.mean += difference >> r.meanShift
}

// timedOut counts a call that was not answered within its timeout. Of calls that were on their way at the
// same time, one counts.
func (r *roundTrip) timedOut(sentAt, now time.Time) {
	if !sentAt.Before(r.lastTimeout) {
		r.timeouts++
		r.lastTimeout = now
	}
}

// noticedLate adds the sample of a call whose timeout was processed late by the given time. An answer would
// have been as late: this part of the delay arises in the leader. What the worker and the network add is not
// known, and the call may have been lost, so the rest of the sample is the mean.
func (r *roundTrip) noticedLate(late time.Duration) {
	if r.sampled {
		r.add(r.mean + max(late, 0))
	}
}

// estimate returns the mean and four deviations, without limits and back-off. It is 0 without a sample.
func (r *roundTrip) estimate() time.Duration { return r.mean + deviationFactor*r.deviation }

// callTimeout returns how long to wait for the answer of a worker. It follows from the larger of the worker's
// estimate and that of all workers, which grows where the leader itself is short of processor time.
func callTimeout(worker, fleet roundTrip) time.Duration {
	base := max(worker.estimate(), fleet.estimate(), minCallTimeout)
	switch {
	case worker.sampled:
	case fleet.sampled:
		base *= 2
	default:
		base = max(base, initialCallTimeout)
	}
	doublings := min(worker.timeouts/timeoutsPerDoubling, maxDoublings)
	return min(base<<doublings, maxCallTimeout)
}
