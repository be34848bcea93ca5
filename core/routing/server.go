package routing

import (
	"math"
	"time"
)

const (
	// initialDelay is assumed for a server that has not answered yet.
	initialDelay = 10 * time.Millisecond
	// delayWeight is the weight of a new measurement in the mean delay. With larger weights, a
	// single slow answer makes a server count as slow.
	delayWeight = 0.05
	// slowServerFactor is the multiple of the typical delay above which a server counts as slow.
	slowServerFactor = 2
	// delayHalfLife is the half-life with which the mean delay of a server without answers returns
	// to that of its service, so that the server is tried again.
	delayHalfLife = 5 * time.Second
	// minFailureDelay is the least delay that a failed answer counts as, so that a server that
	// fails at once does not look fast.
	minFailureDelay = time.Second
	// stalledDelayFactor is the multiple of the mean delay from which the age of an unanswered
	// request counts as the delay of its server.
	stalledDelayFactor = 10
	// failuresToEject is the number of consecutive failed answers after which a server is ejected.
	failuresToEject = 3
	// Bounds of the time for which a failing server is ejected. It doubles with each failed return.
	minEjectionTime = 250 * time.Millisecond
	maxEjectionTime = 10 * time.Second
	// initialSlowStartWindow is the number of concurrent requests that a new or returned server
	// gets; each answer adds one.
	initialSlowStartWindow = 1
	// otherLoadWeight is the weight of one report in the mean load from other entry processes.
	otherLoadWeight = 0.2
)

// server holds the state of one incarnation of a backend server.
type server struct {
	Announcement
	connectionLimit int // connections that this entry process may open
	outstanding     map[uint64]time.Time

	meanDelay      time.Duration // from dispatch to the end of the answer
	hasMeasurement bool
	measuredAt     time.Time

	home              bool    // this entry process is its home
	otherRequests     float64 // requests of other entry processes at reportedAt
	meanOtherRequests float64
	reportedAt        time.Time

	slowStartWindow     int // concurrent requests allowed during slow start
	consecutiveFailures int
	ejections           int // consecutive, without an answer in between
	ejectedUntil        time.Time
	probing             bool // returned from an ejection and not answered yet
}

func newServer(a Announcement, policy Policy) *server {
	s := &server{
		outstanding:     map[uint64]time.Time{},
		meanDelay:       initialDelay,
		slowStartWindow: initialSlowStartWindow,
	}
	s.update(a, policy)
	return s
}

func (s *server) update(a Announcement, policy Policy) {
	s.Announcement = a
	s.updateConnectionLimit(policy)
	s.recordLoad(a.SeenAt, a.InFlight)
}

// updateConnectionLimit divides the connections of the server evenly among the entry processes; its
// home also gets the remainder.
func (s *server) updateConnectionLimit(policy Policy) {
	entries := max(1, policy.MaxEntries)
	s.connectionLimit = max(1, s.Connections/entries)
	if s.home {
		s.connectionLimit = max(1, s.Connections-(entries-1)*(s.Connections/entries))
	}
}

// recordLoad records the number of requests that the server reported to be running. A report that
// is older than the last one is ignored.
func (s *server) recordLoad(at time.Time, inFlight int) {
	if at.Before(s.reportedAt) {
		return
	}
	s.otherRequests = float64(max(0, inFlight-len(s.outstanding)))
	if s.reportedAt.IsZero() {
		s.meanOtherRequests = s.otherRequests
	}
	s.meanOtherRequests += otherLoadWeight * (s.otherRequests - s.meanOtherRequests)
	s.reportedAt = at
}

func (s *server) usable(now time.Time) bool {
	return !now.Before(s.ejectedUntil)
}

// estimateInFlight estimates the number of requests that the server is running now. The reported
// number for other entry processes decays to its mean within a few delays, because these requests
// end and new ones start.
func (s *server) estimateInFlight(now time.Time) float64 {
	otherRequests := s.otherRequests
	if age := now.Sub(s.reportedAt); age > 0 {
		weight := math.Exp2(-float64(age) / float64(max(s.meanDelay, time.Millisecond)))
		otherRequests = s.meanOtherRequests + (s.otherRequests-s.meanOtherRequests)*weight
	}
	return float64(len(s.outstanding)) + otherRequests
}

// hasFreeSlot reports whether the server is expected to accept one more request. The estimated
// number of requests is rounded to an integer.
func (s *server) hasFreeSlot(now time.Time) bool {
	limit := min(s.connectionLimit, s.Slots)
	if len(s.outstanding) >= min(limit, s.slowStartWindow) {
		return false
	}
	return math.Round(s.estimateInFlight(now)) < float64(s.Slots)
}

// expectedDelay returns the mean delay, or the age of the oldest unanswered request if that is much
// larger.
func (s *server) expectedDelay(now time.Time, typical time.Duration) time.Duration {
	delay := s.meanDelay
	if s.hasMeasurement && typical > 0 {
		weight := math.Exp2(-float64(now.Sub(s.measuredAt)) / float64(delayHalfLife))
		delay = typical + time.Duration(float64(delay-typical)*weight)
	}
	if !s.hasMeasurement && typical > 0 {
		delay = typical
	}
	if oldest := s.oldestAge(now); oldest > stalledDelayFactor*delay {
		return oldest
	}
	return delay
}

// oldestAge returns the age of the oldest unanswered request, or 0 if there is none.
func (s *server) oldestAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, startedAt := range s.outstanding {
		oldest = max(oldest, now.Sub(startedAt))
	}
	return oldest
}

// score ranks servers of one locality by expected delay and utilisation; lower is better.
//
// A mean delay below the typical delay counts as the typical delay, because it is chance when it
// comes from few answers: requests that did not fit at home all went to the servers that looked
// fastest and were refused there. A much slower server counts as full, so that it gets only
// requests that the other servers cannot take. Otherwise it would win the comparison because it is
// idle and then lose to a server of another locality, which sent requests away from home servers
// with free slots.
func (s *server) score(now time.Time, typical time.Duration) float64 {
	utilisation := (s.estimateInFlight(now) + 1) / float64(s.Slots)
	delay := s.expectedDelay(now, typical)
	if delay > slowServerFactor*typical {
		utilisation++
	}
	return float64(max(delay, typical)) * utilisation
}

func (s *server) recordResult(now time.Time, o Observation, typical time.Duration) {
	switch o.Result {
	case ResultAnswered:
		s.recordDelay(now, o.Delay, typical)
		s.consecutiveFailures, s.ejections, s.probing = 0, 0, false
		s.slowStartWindow = min(s.slowStartWindow+1, max(s.connectionLimit, s.Slots))
	case ResultRefused:
		s.recordRefusal(now, o)
		return
	case ResultConnectFailed:
		s.eject(now)
	case ResultFailed:
		s.recordDelay(now, max(o.Delay, minFailureDelay), typical)
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToEject || s.probing {
			s.eject(now)
		}
	case ResultTimedOut:
		// A timeout lowers the load of a slow server but does not eject it: the deadline of a
		// request does not show a fault of the server.
		s.recordDelay(now, o.Delay, typical)
	}
	if o.InFlight != UnknownInFlight {
		s.recordLoad(now, o.InFlight)
	}
}

func (s *server) recordRefusal(now time.Time, o Observation) {
	inFlight := max(o.InFlight, s.Slots)
	s.recordLoad(now, inFlight)
}

func (s *server) recordDelay(now time.Time, delay, typical time.Duration) {
	s.measuredAt = now
	if !s.hasMeasurement {
		// Starts from the typical delay: otherwise one short answer would make a rarely used server
		// look fast.
		s.hasMeasurement, s.meanDelay = true, typical
		if typical == 0 {
			s.meanDelay = delay
		}
	}
	s.meanDelay += time.Duration(delayWeight * float64(delay-s.meanDelay))
}

// eject excludes the server for a time that doubles with each ejection. It then returns with a slow
// start.
func (s *server) eject(now time.Time) {
	if !s.usable(now) {
		return // already ejected; several requests failed together
	}
	wait := min(minEjectionTime<<min(s.ejections, 16), maxEjectionTime)
	s.ejectedUntil = now.Add(wait)
	s.ejections++
	s.consecutiveFailures = 0
	s.probing = true
	s.slowStartWindow = initialSlowStartWindow
}

// locality is the distance of a server from this entry process.
type locality int

const (
	localityHome locality = iota
	localityDomain
	localityRegion
	localityOtherRegion
	localityCount
)

func (o Options) localityOf(s *server) locality {
	switch {
	case s.home:
		return localityHome
	case s.Region != o.Region:
		return localityOtherRegion
	case s.FailureDomain != o.FailureDomain:
		return localityRegion
	default:
		return localityDomain
	}
}
