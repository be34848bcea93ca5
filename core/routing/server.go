package routing

import (
	"math"
	"time"
)

const (
	// initialDelay is assumed of a server that has not answered yet.
	initialDelay = 10 * time.Millisecond
	// delayWeight is the weight of a new measurement in the mean delay. Larger
	// weights follow single slow answers, which then count as slow servers.
	delayWeight = 0.05
	// muchSlower is how many typical delays make a server a slow one.
	muchSlower = 2
	// delayHalfLife is how fast the mean delay of a server without answers
	// returns to that of its service, so that it is tried again.
	delayHalfLife = 5 * time.Second
	// failureDelay is the least delay that a failed answer counts as, so that a
	// server that fails at once does not look fast.
	failureDelay = time.Second
	// stalledFactor is how many mean delays an unanswered request must be old
	// before its age counts as the delay of its server.
	stalledFactor = 10
	// failuresToRemove is how many failed answers in a row take a server out.
	failuresToRemove = 3
	// Bounds of the time for which a failing server is out. It doubles with each
	// failed return.
	removalMin = 250 * time.Millisecond
	removalMax = 10 * time.Second
	// initialWindow is how many requests a new or returned server gets at once;
	// each answer adds one.
	initialWindow = 1
	// loadWeight is the weight of one report in the mean load from other entry
	// processes.
	loadWeight = 0.2
)

// server is what the table knows of one incarnation of a backend server.
type server struct {
	Announcement
	limit       int // connections of this entry process
	outstanding map[uint64]time.Time

	delay      time.Duration // mean, from dispatch to the end of the answer
	measured   bool
	measuredAt time.Time

	home       bool    // this entry process is its home
	others     float64 // requests of other entry processes at reportAt
	othersMean float64
	reportAt   time.Time

	window   int // requests at once during the gradual return
	failures int // in a row
	removals int // in a row, without an answer in between
	outUntil time.Time
	probing  bool // out of a removal and not answered yet
}

func newServer(a Announcement, policy Policy) *server {
	s := &server{
		outstanding: map[uint64]time.Time{},
		delay:       initialDelay,
		window:      initialWindow,
	}
	s.update(a, policy)
	return s
}

func (s *server) update(a Announcement, policy Policy) {
	s.Announcement = a
	s.setLimit(policy)
	s.report(a.SeenAt, a.InFlight)
}

// setLimit divides the connections of the server evenly; its home gets what the
// division leaves over.
func (s *server) setLimit(policy Policy) {
	entries := max(1, policy.MaxEntries)
	s.limit = max(1, s.Connections/entries)
	if s.home {
		s.limit = max(1, s.Connections-(entries-1)*(s.Connections/entries))
	}
}

// report takes the number of requests that the server says it runs. A report
// from before the last one is ignored.
func (s *server) report(at time.Time, inFlight int) {
	if at.Before(s.reportAt) {
		return
	}
	s.others = float64(max(0, inFlight-len(s.outstanding)))
	if s.reportAt.IsZero() {
		s.othersMean = s.others
	}
	s.othersMean += loadWeight * (s.others - s.othersMean)
	s.reportAt = at
}

func (s *server) usable(now time.Time) bool {
	return !now.Before(s.outUntil)
}

// inFlight estimates the requests that the server runs now. What was last
// reported of other entry processes fades into its mean within a few delays,
// because their requests end and new ones start.
func (s *server) inFlight(now time.Time) float64 {
	others := s.others
	if age := now.Sub(s.reportAt); age > 0 {
		kept := math.Exp2(-float64(age) / float64(max(s.delay, time.Millisecond)))
		others = s.othersMean + (s.others-s.othersMean)*kept
	}
	return float64(len(s.outstanding)) + others
}

// room reports whether the server is expected to accept one more request. The
// estimate of the others' load is rounded to whole requests.
func (s *server) room(now time.Time) bool {
	limit := min(s.limit, s.Slots)
	if len(s.outstanding) >= min(limit, s.window) {
		return false
	}
	return math.Round(s.inFlight(now)) < float64(s.Slots)
}

// expectedDelay is the mean delay, or the age of the oldest unanswered request
// where that is much larger.
func (s *server) expectedDelay(now time.Time, typical time.Duration) time.Duration {
	delay := s.delay
	if s.measured && typical > 0 {
		share := math.Exp2(-float64(now.Sub(s.measuredAt)) / float64(delayHalfLife))
		delay = typical + time.Duration(float64(delay-typical)*share)
	}
	if !s.measured && typical > 0 {
		delay = typical
	}
	if oldest := s.oldestAge(now); oldest > stalledFactor*delay {
		return oldest
	}
	return delay
}

// oldestAge returns the age of the oldest unanswered request, 0 for none.
func (s *server) oldestAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, startedAt := range s.outstanding {
		oldest = max(oldest, now.Sub(startedAt))
	}
	return oldest
}

// score orders servers of one locality: expected delay, more for loaded ones.
// A mean below the typical delay does not count, because with few answers it is
// chance: requests that had no room at home all went to the servers that looked
// fastest, and were refused there. A much slower server counts as full, so that
// it gets what the others have no room for. It would otherwise win by being
// empty and then lose to a server elsewhere, which sent requests away from home
// while there was room.
func (s *server) score(now time.Time, typical time.Duration) float64 {
	utilisation := (s.inFlight(now) + 1) / float64(s.Slots)
	delay := s.expectedDelay(now, typical)
	if delay > muchSlower*typical {
		utilisation++
	}
	return float64(max(delay, typical)) * utilisation
}

func (s *server) observe(now time.Time, o Observation, typical time.Duration) {
	switch o.Result {
	case ResultAnswered:
		s.measure(now, o.Delay, typical)
		s.failures, s.removals, s.probing = 0, 0, false
		s.window = min(s.window+1, max(s.limit, s.Slots))
	case ResultRefused:
		s.refused(now, o)
		return
	case ResultConnectFailed:
		s.remove(now)
	case ResultFailed:
		s.measure(now, max(o.Delay, failureDelay), typical)
		s.failures++
		if s.failures >= failuresToRemove || s.probing {
			s.remove(now)
		}
	case ResultTimedOut:
		// A slow server only gets less load; the deadline says nothing of it.
		s.measure(now, o.Delay, typical)
	}
	if o.InFlight != UnknownInFlight {
		s.report(now, o.InFlight)
	}
}

func (s *server) refused(now time.Time, o Observation) {
	inFlight := max(o.InFlight, s.Slots)
	s.report(now, inFlight)
}

func (s *server) measure(now time.Time, delay, typical time.Duration) {
	s.measuredAt = now
	if !s.measured {
		// Starts from the typical delay: one short answer would make a server
		// look fast that is hardly ever used.
		s.measured, s.delay = true, typical
		if typical == 0 {
			s.delay = delay
		}
	}
	s.delay += time.Duration(delayWeight * float64(delay-s.delay))
}

// remove takes the server out for a time that doubles, and lets it return
// gradually.
func (s *server) remove(now time.Time) {
	if !s.usable(now) {
		return // several requests failed together
	}
	wait := min(removalMin<<min(s.removals, 16), removalMax)
	s.outUntil = now.Add(wait)
	s.removals++
	s.failures = 0
	s.probing = true
	s.window = initialWindow
}

// locality is how far a server is from this entry process.
type locality int

const (
	atHome locality = iota
	localDomain
	localRegion
	otherRegion
	localities
)

func (o Options) localityOf(s *server) locality {
	switch {
	case s.home:
		return atHome
	case s.Region != o.Region:
		return otherRegion
	case s.FailureDomain != o.FailureDomain:
		return localRegion
	default:
		return localDomain
	}
}
