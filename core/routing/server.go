package routing

import (
	"math"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// initialDelay is assumed of a server that has not answered yet.
	initialDelay = 10 * time.Millisecond
	// delayWeight is the weight of a new measurement in the mean delay. Larger
	// weights follow single slow answers, which then count as slow servers.
	delayWeight = 0.1
	// delayHalfLife is how fast the mean delay of a server without answers
	// returns to that of its service, so that it is tried again.
	delayHalfLife = 5 * time.Second
	// failureDelay is the least delay that a failed answer counts as, so that a
	// server that fails at once does not look fast.
	failureDelay = time.Second
	// stalledFactor is how many mean delays an unanswered request must be old
	// before its age counts as the delay of its server.
	stalledFactor = 3
	// failuresToRemove is how many failed answers in a row take a server out.
	failuresToRemove = 3
	// Bounds of the time for which a failing server is out. It doubles with each
	// failed return.
	removalMin = 250 * time.Millisecond
	removalMax = 10 * time.Second
	// initialWindow is how many requests a new or returned server gets at once;
	// each answer adds one.
	initialWindow = 1
	// othersHalfLives is the half-life, in mean delays of the server, of what is
	// known of the load from other entry processes. Their requests end too, and a
	// server that is believed full for ever would never be asked again.
	othersHalfLives = 4
)

// server is what the table knows of one incarnation of a backend server.
type server struct {
	Announcement
	limit       int // connections of this entry process
	outstanding map[uint64]time.Time

	delay      time.Duration // mean, from dispatch to the end of the answer
	measured   bool
	measuredAt time.Time

	others   int // requests of other entry processes at reportAt
	reportAt time.Time

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
	s.limit = max(1, a.Connections/max(1, policy.MaxEntries))
	s.report(a.SeenAt, a.InFlight)
}

// report takes the number of requests that the server says it runs. A report
// from before the last one is ignored.
func (s *server) report(at time.Time, inFlight int) {
	if at.Before(s.reportAt) {
		return
	}
	s.reportAt = at
	s.others = max(0, inFlight-len(s.outstanding))
}

func (s *server) usable(now time.Time) bool {
	return !now.Before(s.outUntil)
}

// inFlight estimates the requests that the server runs now.
func (s *server) inFlight(now time.Time) float64 {
	halfLife := othersHalfLives * s.delay
	age := now.Sub(s.reportAt)
	others := float64(s.others)
	if age > 0 {
		others *= math.Exp2(-float64(age) / float64(halfLife))
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
	for _, startedAt := range s.outstanding {
		if age := now.Sub(startedAt); age > stalledFactor*delay {
			delay = age
		}
	}
	return delay
}

// score orders servers of one locality: expected delay, more for loaded ones.
func (s *server) score(now time.Time, typical time.Duration) float64 {
	utilisation := (s.inFlight(now) + 1) / float64(s.Slots)
	return float64(s.expectedDelay(now, typical)) * utilisation
}

func (s *server) observe(now time.Time, o Observation) {
	switch o.Result {
	case ResultAnswered:
		s.measure(now, o.Delay)
		s.failures, s.removals, s.probing = 0, 0, false
		s.window = min(s.window+1, max(s.limit, s.Slots))
	case ResultRefused:
		s.refused(now, o)
		return
	case ResultConnectFailed:
		s.remove(now)
	case ResultFailed:
		s.measure(now, max(o.Delay, failureDelay))
		s.failures++
		if s.failures >= failuresToRemove || s.probing {
			s.remove(now)
		}
	case ResultTimedOut:
		// A slow server only gets less load; the deadline says nothing of it.
		s.measure(now, o.Delay)
	}
	if o.InFlight != UnknownInFlight {
		s.report(now, o.InFlight)
	}
}

func (s *server) refused(now time.Time, o Observation) {
	inFlight := max(o.InFlight, s.Slots)
	s.report(now, inFlight)
}

func (s *server) measure(now time.Time, delay time.Duration) {
	s.measuredAt = now
	if !s.measured {
		s.measured, s.delay = true, delay
		return
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
	localDomain locality = iota
	localRegion
	otherRegion
	localities
)

func (o Options) localityOf(region cell.Region, domain cell.FailureDomain) locality {
	switch {
	case region != o.Region:
		return otherRegion
	case domain != o.FailureDomain:
		return localRegion
	default:
		return localDomain
	}
}
